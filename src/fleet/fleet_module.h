#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "datastore/instance_list_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "fleet/fleet_settings.h"
#include "fleet/types/drain_change.h"
#include "fleet/types/drain_error.h"
#include "fleet/types/drain_state.h"
#include "fleet/types/fleet_view.h"
#include "fleet/types/instance_status.h"
#include "framework/http_client.h"
#include "framework/json_rpc_server.h"
#include "framework/metrics.h"
#include "framework/result.h"
#include "framework/timer_service.h"
#include "sheet/sheet_in_force.h"
#include "sheet/sheet_store.h"

namespace lentilhead::fleet {

/// Runs the membership protocol of this instance and replicates the sheet and the drain state
/// between instances. Runs in a single task of the entry process.
class FleetModule {
 public:
  /// Objects of the task that the module uses; all must outlive it.
  struct Dependencies {
    framework::HttpClient& http;
    framework::TimerService& timers;
    framework::Metrics& metrics;
    datastore::TableClient& table;
    datastore::ResolvedWriter& writer;
    datastore::InstanceListClient& list;
    sheet::SheetStore& sheets;
    sheet::SheetInForce& sheet;
  };

  using DrainHandler = std::function<void(framework::Reply<DrainState, DrainError>)>;
  using StatusHandler = std::function<void(std::vector<InstanceStatus>)>;

  FleetModule(FleetSettings settings, Dependencies dependencies);
  FleetModule(const FleetModule&) = delete;
  FleetModule& operator=(const FleetModule&) = delete;
  ~FleetModule();

  /// Registers the procedures that peers and the other processes of this instance call.
  void RegisterProcedures(framework::JsonRpcServer& server);

  /// Starts reading the platform's list, sending heartbeats and replicating the sheet and the
  /// drains.
  void Start();

  /// Tells the peers that this instance is leaving. Heartbeats continue until the module is
  /// destroyed.
  void Leave();

  [[nodiscard]] const FleetView& View() const;

  /// Endpoints and instances that operators drain, at the latest revision this instance has
  /// received.
  [[nodiscard]] const DrainState& Drains() const;

  /// True if this instance has a sheet whose revision the store or a peer confirmed within the
  /// readiness bound, and is neither leaving nor drained.
  [[nodiscard]] bool IsReady() const;

  /// True after Leave() or while an operator drains this instance.
  [[nodiscard]] bool IsLeaving() const;

  /// Adds a handler that is called after each change of the view, the drains or the readiness.
  void OnChange(std::function<void()> handler);

  /// Stores an operator's change of the drains and replicates it.
  void ChangeDrain(DrainChange change, DrainHandler handler);

  /// Requests the status of every instance in the view.
  void FetchStatus(StatusHandler handler);

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::fleet
