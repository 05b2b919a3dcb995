#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "control/internal/leader_lease.h"
#include "control/internal/reconciler.h"
#include "framework/timer_service.h"

namespace lentilhead::control::internal {

/// Fault that a test injects to check that the invariants detect it.
enum class InjectedFault {
  kNone,
  kNoLeaseWait,    ///< A takeover waits neither for the lease duration nor for orders in flight.
  kNoMargin,       ///< A holder sends orders after its lease has expired.
  kFalseReadBack,  ///< After a few orders, reads report the desired version instead of
                   ///< the actual one.
};

/// Endpoint that executes orders. It refuses stale tokens if it checks them.
struct FakeEndpoint {
  ManagedEndpoint info;
  ObservedState state;
  std::uint64_t token = 0;  ///< Highest fencing token seen.
  bool up = true;
  std::string failing_version;  ///< Version whose check fails.
  int orders = 0;
};

/// Simulation of controllers, endpoints and the lease row, with random delays and manual time.
class ControlSimulation {
 public:
  ControlSimulation(int controllers, int endpoints, std::uint64_t seed,
                    InjectedFault fault = InjectedFault::kNone);

  void Run(std::chrono::milliseconds time);
  void SetSheet(const std::string& version, int capacity);
  void Pause(int controller, std::chrono::milliseconds time);
  void SetAnswerLoss(double share) { this->answer_loss = share; }
  void SetTableDown(bool down) { this->table_down = down; }

  [[nodiscard]] int CountServing(const std::string& version) const;
  [[nodiscard]] int CountInUse() const;
  [[nodiscard]] int MinInUse() const { return this->min_in_use; }
  void ResetMinInUse() { this->min_in_use = this->CountInUse(); }
  [[nodiscard]] bool HadTwoLeaders() const { return this->two_leaders; }
  [[nodiscard]] bool HadStaleOrder() const { return this->stale_order; }
  [[nodiscard]] int CountHalts() const { return this->halts; }
  std::vector<FakeEndpoint>& Endpoints() { return this->endpoints; }

 private:
  struct Controller {
    std::unique_ptr<LeaderLease> lease;
    std::unique_ptr<Reconciler> reconciler;
    framework::MonotonicTime paused_until;
    std::vector<std::function<void()>> deferred;  ///< Actions deferred to the end of a pause.
    std::uint64_t epoch = 0;
  };

  void Tick(int controller);
  void RunLease(int controller, const LeaseEffect& effect);
  void WriteLeaseRow(int controller, LeaseRow row);
  void RunActions(int controller, const ControlActions& actions);
  void Send(int controller, const SendOrder& order);
  OrderResult ExecuteOrder(FakeEndpoint& endpoint, const SendOrder& order, std::uint64_t token);
  void CheckInvariants();
  /// Runs an action of a controller after a delay, but not before the end of its pause.
  void Deliver(int controller, std::chrono::milliseconds delay, std::function<void()> action);
  void After(std::chrono::milliseconds delay, std::function<void()> action);
  std::chrono::milliseconds RandomLatency(int max_ms);
  bool IsAnswerLost();
  FakeEndpoint& Find(const std::string& name);

  std::unique_ptr<framework::TimerService> timers = framework::TimerService::Manual();
  std::mt19937_64 random;
  InjectedFault fault;
  std::vector<Controller> controllers;
  std::vector<FakeEndpoint> endpoints;
  std::optional<LeaseRow> lease_row;
  std::uint64_t next_etag = 1;
  RolloutRecord record;
  std::uint64_t record_epoch = 0;
  std::shared_ptr<sheet::AcceptedSheet> sheet = std::make_shared<sheet::AcceptedSheet>();
  double answer_loss = 0;
  bool table_down = false;
  bool two_leaders = false;
  bool stale_order = false;
  int halts = 0;
  int min_in_use = 0;
  std::map<std::uint64_t, framework::TimerSubscription> events;
  std::uint64_t next_event = 0;
  std::vector<framework::TimerSubscription> ticks;
};

}  // namespace lentilhead::control::internal
