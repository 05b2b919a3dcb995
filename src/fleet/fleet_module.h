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

/// Membership of this instance in the fleet, and the replication of the sheet and of the drained
/// endpoints between instances. Lives in one task of the entry process.
class FleetModule {
 public:
  /// Parts of the task that the module uses; all must outlive it.
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

  /// Adds the procedures that peers and the other processes of this instance call.
  void RegisterProcedures(framework::JsonRpcServer& server);

  /// Starts to read the platform's list, to send heartbeats and to follow the sheet.
  void Start();

  /// Tells the peers that this instance leaves; heartbeats go on until the module is destroyed.
  void Leave();

  [[nodiscard]] const FleetView& View() const;

  /// Endpoints and instances that operators drain, as this instance knows them.
  [[nodiscard]] const DrainState& Drains() const;

  /// True if a sheet is in force, its revision was confirmed by the store or a peer within the
  /// readiness bound, and this instance neither leaves nor is drained.
  [[nodiscard]] bool IsReady() const;

  /// True after Leave() or while an operator drains this instance.
  [[nodiscard]] bool IsLeaving() const;

  /// Calls back after each change of the view, the drains or the readiness.
  void OnChange(std::function<void()> handler);

  /// Stores an operator's change of the drains and replicates it.
  void ChangeDrain(DrainChange change, DrainHandler handler);

  /// Asks every instance of the view for its own status.
  void FetchStatus(StatusHandler handler);

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::fleet
