#pragma once

#include <functional>
#include <memory>
#include <string>

#include "batch/batch_settings.h"
#include "datastore/object_store_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "endpoint/endpoint_directory.h"
#include "endpoint/endpoint_settings.h"
#include "fleet/types/fleet_view.h"
#include "framework/http_client.h"
#include "framework/json_rpc_client.h"
#include "framework/json_rpc_server.h"
#include "framework/metrics.h"
#include "framework/timer_service.h"

namespace lentilhead::batch {

/// Batch work of one process: owns jobs by leases, dispatches items to the endpoints that it owns,
/// and commits results.
class BatchModule {
 public:
  /// Parts of the task, which outlive the module.
  struct Parts {
    const BatchSettings& settings;
    const endpoint::EndpointSettings& services;
    std::string instance;  ///< Name of this instance.
    std::string run;       ///< Identifier of this process run.
    datastore::TableClient& table;
    datastore::ObjectStoreClient& objects;
    datastore::ResolvedWriter& writer;
    endpoint::EndpointDirectory& directory;
    framework::HttpClient& http;
    framework::JsonRpcClient& rpc;
    framework::TimerService& timers;
    framework::Metrics& metrics;
  };

  explicit BatchModule(const Parts& parts);
  BatchModule(const BatchModule&) = delete;
  BatchModule& operator=(const BatchModule&) = delete;
  ~BatchModule();

  /// Registers the procedures between batch processes.
  void RegisterProcedures(framework::JsonRpcServer& server);

  /// Sets how the model name of an item is translated to the one that endpoints know.
  void TranslateModels(std::function<std::string(const std::string& model)> translate);

  /// Takes the view of the fleet. @param confirmed time at which it was true.
  void OnView(const fleet::FleetView& view, framework::MonotonicTime confirmed);

  /// Starts the periodic work.
  void Start();

  /// Stops the periodic work at once, without any hand-over.
  void Stop();

  /// Stops new work and hands jobs and leases back. @see IsIdle
  void Drain();

  /// Cancels the items that still run; their jobs go on elsewhere.
  void PreemptAll();

  /// True if nothing runs, every result is durable, and no job or lease is held.
  [[nodiscard]] bool IsIdle() const;

 private:
  class State;

  std::unique_ptr<State> state;
};

}  // namespace lentilhead::batch
