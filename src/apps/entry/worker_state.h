#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "apps/common/instance_settings.h"
#include "apps/entry/types/worker_message.h"
#include "batch/job_api.h"
#include "datastore/instance_list_client.h"
#include "datastore/object_store_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "endpoint/endpoint_directory.h"
#include "framework/http_client.h"
#include "framework/http_router.h"
#include "framework/http_server.h"
#include "framework/metrics.h"
#include "framework/task.h"
#include "online/online_module.h"
#include "sheet/sheet_in_force.h"

namespace lentilhead::apps {

/// State of a worker task, which only the task's thread uses.
class WorkerState {
 public:
  /// @param on_ready called once, when every service of the sheet has endpoints or the wait for
  /// them has timed out.
  /// @param on_drained called once, with the number of aborted answers, when the listener is closed
  /// and all answers are written.
  WorkerState(const InstanceSettings& settings, framework::TimerService& timers,
              framework::Metrics& metrics, std::function<void()> on_ready,
              std::function<void(std::size_t aborted)> on_drained);
  WorkerState(const WorkerState&) = delete;
  WorkerState& operator=(const WorkerState&) = delete;

  /// Starts to listen. @return a framework::HttpServerError if the address cannot be used.
  framework::Result<void> Listen();

  void Handle(const WorkerMessage& message);

 private:
  struct Visitor;

  void CheckReady();
  void ReloadTls();
  void CloseListener();
  void AbortOpen();
  void CheckDrained();

  framework::TimerService& timers;
  std::function<void()> on_ready;
  std::function<void(std::size_t)> on_drained;
  framework::HttpClient http;
  datastore::TableClient table;
  datastore::ObjectStoreClient objects;
  datastore::WriteBudget budget;
  datastore::ResolvedWriter writer;
  datastore::InstanceListClient list;
  sheet::SheetInForce sheet;
  endpoint::EndpointDirectory directory;
  online::OnlineModule online;
  batch::JobApi jobs;
  framework::HttpRouter router;
  framework::HttpServer server;
  framework::TimerSubscription ready_check;
  framework::TimerSubscription drain_check;
  std::optional<framework::MonotonicTime> first_sheet_at;
  std::size_t aborted = 0;
};

}  // namespace lentilhead::apps
