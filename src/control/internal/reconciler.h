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

/// Periods and bounds of the reconciliation.
struct ReconcilerParameters {
  std::chrono::milliseconds observe_period{1'000};  ///< Of an endpoint that is being changed.
  std::chrono::milliseconds sweep_period{15'000};   ///< Of an endpoint that is as wanted.
  std::chrono::milliseconds settle_time{2'000};     ///< After an order without an answer.
  std::chrono::milliseconds drain_timeout{300'000};
  std::chrono::milliseconds load_time{60'000};
  int loads_at_once = 2;
  int observations_at_once = 32;
  int max_load_attempts = 3;
  int max_failed_observations = 5;
};

/// Brings the endpoints to what the sheet wants, one step at a time.
///
/// An endpoint that serves is drained, loaded, checked and only then used again. The first
/// endpoint of a new version goes alone; others follow in a bounded number. Endpoints are taken out
/// only while enough others serve the model. The first failure of a version stops its roll-out.
/// What is in progress is stored before the first order, so that a later leader carries on. The
/// class decides from the messages and times that it is given, and has one action at a time under
/// way for each endpoint.
class Reconciler {
 public:
  explicit Reconciler(ReconcilerParameters parameters);

  /// Starts a leadership with the stored record.
  void Start(RolloutRecord stored);

  /// Ends a leadership. Answers that come later are ignored.
  void Stop();
  [[nodiscard]] bool IsRunning() const { return this->running; }

  void SetSheet(std::shared_ptr<const sheet::AcceptedSheet> accepted);
  /// @param endpoints live endpoints that operators do not drain.
  void SetEndpoints(const std::vector<ManagedEndpoint>& endpoints);

  /// Returns what to do now. @param time_of_day since midnight, UTC.
  ControlActions OnTick(std::chrono::minutes time_of_day, framework::MonotonicTime now);

  /// Handles the answer to Observe; no value if the endpoint did not answer.
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

  /// True while an order or check is under way at any endpoint.
  [[nodiscard]] bool IsBusy() const;

  [[nodiscard]] const RolloutRecord& Record() const { return this->record; }
  [[nodiscard]] const std::map<std::string, DesiredState>& Desired() const { return this->desired; }

  /// Endpoints that are wanted otherwise than they were last seen.
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
    bool load_ordered = false;  ///< Loaded by this leadership, so its silence counts as a failure.
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
  RolloutRecord stored;  ///< Record as it is in the table.
  std::optional<RolloutRecord> storing;
};

}  // namespace lentilhead::control::internal
