#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fleet/fleet_settings.h"
#include "fleet/types/fleet_view.h"
#include "framework/json_rpc_client.h"
#include "framework/timer_service.h"
#include "sheet/sheet_in_force.h"

namespace lentilhead::fleet {

/// Copies the fleet view, the sheet and the drained endpoints from this instance's entry process to
/// another process of the same instance. Polls the JSON-RPC procedure `fleet.view` of the entry
/// process.
class FleetFollower {
 public:
  /// @param program name of this process's program, by which the entry process detects whether the
  /// instance's batch process is running.
  /// @param sheet is updated with each new sheet; must outlive the follower.
  FleetFollower(const FleetSettings& settings, std::string program, framework::HttpClient& http,
                framework::TimerService& timers, sheet::SheetInForce& sheet);
  FleetFollower(const FleetFollower&) = delete;
  FleetFollower& operator=(const FleetFollower&) = delete;
  ~FleetFollower();

  [[nodiscard]] const FleetView& View() const;

  /// Names of endpoints that operators drain.
  [[nodiscard]] const std::set<std::string>& DrainedEndpoints() const;

  /// Start time of the last request that the entry process answered; no value before the first
  /// answer.
  [[nodiscard]] std::optional<framework::MonotonicTime> LastConfirmed() const;

  /// Adds a handler that is called after each change of the view or of the drained endpoints.
  void OnChange(std::function<void()> handler);

 private:
  class State;

  std::shared_ptr<State> state;
};

}  // namespace lentilhead::fleet
