#pragma once

#include <cstdint>
#include <memory>

#include "apps/common/instance_settings.h"
#include "batch/batch_module.h"
#include "datastore/instance_list_client.h"
#include "datastore/object_store_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "datastore/write_budget.h"
#include "endpoint/endpoint_directory.h"
#include "fleet/fleet_follower.h"
#include "framework/http_client.h"
#include "framework/http_router.h"
#include "framework/http_server.h"
#include "framework/json_rpc_client.h"
#include "framework/json_rpc_server.h"
#include "framework/metrics.h"
#include "framework/result.h"
#include "framework/timer_service.h"
#include "sheet/sheet_in_force.h"

namespace lentilhead::apps {

/// The modules of lentilhead-batch, all on the main thread.
class BatchProgram {
 public:
  explicit BatchProgram(const InstanceSettings& settings);
  BatchProgram(const BatchProgram&) = delete;
  BatchProgram& operator=(const BatchProgram&) = delete;
  ~BatchProgram();

  /// Starts the listener and the batch module. @return the port, or a framework::HttpServerError.
  framework::Result<std::uint16_t> Start();

  /// Stops new work and hands over the jobs.
  /// @param on_done called once all jobs are handed over, or after the time limit.
  void Drain(std::function<void()> on_done);

 private:
  void RegisterRoutes();
  void OnView();
  void CheckDrained();

  const InstanceSettings& settings;
  framework::Metrics metrics;
  std::unique_ptr<framework::TimerService> timers;
  framework::HttpClient http;
  framework::JsonRpcClient rpc;
  framework::JsonRpcServer procedures;
  framework::HttpRouter router;
  framework::HttpServer server;
  sheet::SheetInForce sheet;
  fleet::FleetFollower follower;
  datastore::TableClient table;
  datastore::ObjectStoreClient objects;
  datastore::InstanceListClient list;
  datastore::WriteBudget budget;
  datastore::ResolvedWriter writer;
  endpoint::EndpointDirectory directory;
  batch::BatchModule module;
  framework::TimerSubscription view_timer;
  framework::TimerSubscription drain_timer;
  framework::MonotonicTime drain_started;
  std::function<void()> on_drained;
  bool draining = false;
  bool preempted = false;
};

}  // namespace lentilhead::apps
