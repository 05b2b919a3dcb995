#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/internal/assignment.h"
#include "control/internal/control_action.h"
#include "control/internal/endpoint_state.h"
#include "control/internal/rollout_record.h"
#include "framework/types/time_types.h"
#include "sheet/types/sheet.h"

namespace lentilhead::control::internal {

/// Periods and limits of the reconciliation.
struct ReconcilerParameters {
  /// Between reads of an endpoint that is being changed or not as desired.
  std::chrono::milliseconds observe_period{1'000};
  /// Between reads of any other endpoint.
  std::chrono::milliseconds sweep_period{15'000};
  /// Delay of the next read after an order of unknown outcome.
  std::chrono::milliseconds settle_time{2'000};
  std::chrono::milliseconds drain_timeout{300'000};
  std::chrono::milliseconds load_time{60'000};  ///< Expected duration of one load.
  int loads_at_once = 2;  ///< Maximum number of endpoints that change at a time.
  int observations_at_once = 32;
  int max_load_attempts = 3;
  int max_failed_observations = 5;
};

/// Changes the endpoints step by step until each serves what the sheet assigns to it.
///
/// An endpoint that serves another model or version is drained, loaded and checked before it is
/// used again. A new version is rolled out to one endpoint first, then to a limited number at a
/// time. An endpoint is taken out of use only while enough others serve its model. The first
/// failure of a version halts its roll-out. A step is stored before its first order, so that a
/// later leader can continue it. The class does no I/O: it is given messages and times, and returns
/// actions. Each endpoint has at most one action in flight.
class Reconciler {
 public:
  explicit Reconciler(ReconcilerParameters parameters);

  /// Starts a term as leader from the stored record.
  void Start(RolloutRecord stored);

  /// Ends the term as leader. Later answers are ignored.
  void Stop();
  [[nodiscard]] bool IsRunning() const { return this->running; }

  void SetSheet(std::shared_ptr<const sheet::AcceptedSheet> accepted);
  /// @param endpoints live endpoints that no operator has drained.
  void SetEndpoints(const std::vector<ManagedEndpoint>& endpoints);

  /// Returns the actions that are due. @param time_of_day since midnight, UTC.
  ControlActions OnTick(std::chrono::minutes time_of_day, framework::MonotonicTime now);

  /// Handles the answer to Observe. @param observed no value if the endpoint did not answer.
  ControlActions OnObserved(const std::string& endpoint,
                            const std::optional<ObservedState>& observed,
                            framework::MonotonicTime now);

  /// Handles the end of an order.
  ControlActions OnOrderEnded(const std::string& endpoint, OrderKind kind, OrderResult result,
                              framework::MonotonicTime now);

  /// Handles the end of a check.
  ControlActions OnChecked(const std::string& endpoint, bool passed, framework::MonotonicTime now);

  /// Handles the end of StoreRecord.
  void OnRecordStored(bool stored);

  /// True while an order or a check is in flight to any endpoint.
  [[nodiscard]] bool IsBusy() const;

  [[nodiscard]] const RolloutRecord& Record() const { return this->record; }
  [[nodiscard]] const std::map<std::string, DesiredState>& Desired() const { return this->desired; }

  /// Number of assigned endpoints whose last observation is missing, draining or not as desired.
  [[nodiscard]] std::size_t PendingCount() const;

 private:
  enum class Activity { kNone, kObserving, kOrdering, kChecking };

  struct TrackedEndpoint {
    ManagedEndpoint endpoint;
    Activity activity = Activity::kNone;
    std::optional<ObservedState> observed;
    std::optional<framework::MonotonicTime> observe_at;
    std::optional<framework::MonotonicTime> drain_started;
    int load_attempts = 0;
    int failed_observations = 0;
    /// This leader ordered a load in the current step, so missing answers halt the roll-out.
    bool load_ordered = false;
  };

  void StepEndpoint(TrackedEndpoint& tracked, framework::MonotonicTime now,
                    ControlActions& actions);
  void StepInProgress(TrackedEndpoint& tracked, const DesiredState& wanted,
                      framework::MonotonicTime now, ControlActions& actions);
  void StepHalted(TrackedEndpoint& tracked, ControlActions& actions);
  void FinishStep(TrackedEndpoint& tracked);
  void LoadWhenIdle(TrackedEndpoint& tracked, const DesiredState& wanted,
                    framework::MonotonicTime now, ControlActions& actions);
  [[nodiscard]] bool MayStartStep(const TrackedEndpoint& tracked, const DesiredState& wanted) const;
  [[nodiscard]] bool NeedsChange(const TrackedEndpoint& tracked, const DesiredState& wanted) const;
  void DropStepsOfLostEndpoints();
  void UpdateDesired(std::chrono::minutes now_of_day);
  [[nodiscard]] int CountObserving() const;
  [[nodiscard]] bool LeavesEnoughCapacity(const TrackedEndpoint& tracked) const;
  [[nodiscard]] bool IsServing(const TrackedEndpoint& tracked) const;
  [[nodiscard]] bool IsVerified(const std::string& service, const DesiredState& wanted) const;
  [[nodiscard]] bool IsHalted(const std::string& service, const DesiredState& wanted) const;
  void Halt(const TrackedEndpoint& tracked, const DesiredState& wanted, const std::string& reason,
            ControlActions& actions);
  static void AddOrder(TrackedEndpoint& tracked, OrderKind kind, const DesiredState& wanted,
                       ControlActions& actions);
  [[nodiscard]] int RequiredCapacity(const std::string& service, const std::string& model) const;
  [[nodiscard]] std::chrono::minutes LeadTime() const;

  ReconcilerParameters parameters;
  bool running = false;
  std::shared_ptr<const sheet::AcceptedSheet> sheet;
  std::map<std::string, TrackedEndpoint> tracked_endpoints;
  std::map<std::string, DesiredState> desired;
  bool assignment_stale = true;  ///< The sheet or the endpoints have changed.
  std::chrono::minutes time_of_day{0};
  RolloutRecord record;
  RolloutRecord stored;                  ///< Record last known to be in the table.
  std::optional<RolloutRecord> storing;  ///< Record of the write in flight.
};

}  // namespace lentilhead::control::internal
