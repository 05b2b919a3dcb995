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

/// Runs the batch work of one process: owns jobs by leases, dispatches items to the endpoints that
/// it owns, and commits results.
class BatchModule {
 public:
  /// Objects that the module uses. Each reference must outlive the module.
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

  /// Registers the procedures that batch processes call on each other.
  void RegisterProcedures(framework::JsonRpcServer& server);

  /// Sets the function that maps the model name of an item to the model name that endpoints use.
  void TranslateModels(std::function<std::string(const std::string& model)> translate);

  /// Updates the view of the fleet. @param confirmed time at which the view was known to be
  /// correct.
  void OnView(const fleet::FleetView& view, framework::MonotonicTime confirmed);

  /// Starts the periodic work.
  void Start();

  /// Stops the periodic work immediately, without handing jobs over.
  void Stop();

  /// Stops new work, hands jobs over and releases leases. @see IsIdle
  void Drain();

  /// Cancels the items in flight here; the owners of their jobs grant them again.
  void PreemptAll();

  /// Returns true if no item is in flight, every result is durable, and no job or lease is held.
  [[nodiscard]] bool IsIdle() const;

 private:
  class State;

  std::unique_ptr<State> state;
};

}  // namespace lentilhead::batch
