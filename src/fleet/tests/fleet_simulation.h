#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/internal/membership.h"
#include "fleet/internal/replica_tracker.h"
#include "framework/timer_service.h"

namespace lentilhead::fleet::internal {

/// Fault that a test injects to check that the simulation detects it.
enum class InjectedFault { kNone, kNoRefutation, kNeverFetches, kNeverSuspects };

/// Instances with their membership and sheet replica on a simulated network and store.
class FleetSimulation {
 public:
  FleetSimulation(int instance_count, std::uint64_t seed,
                  InjectedFault fault = InjectedFault::kNone);

  void Run(std::chrono::milliseconds time);

  void Crash(int index);
  void Restart(int index);
  /// Pauses or resumes an instance; messages to a paused instance time out.
  void Pause(int index, bool paused);
  /// Partitions the network into the instances of a set and the others. An empty set ends the
  /// partition.
  void Split(std::set<int> partition) { this->partition = std::move(partition); }
  void SetMessageLoss(double share) { this->message_loss = share; }
  void SetStoreDown(bool down) { this->store_down = down; }
  /// Stores a new sheet that is submitted at an instance.
  void Submit(int index);

  /// Returns the first difference between a view and the simulated state, or between a revision and
  /// the store's; empty if there is none.
  [[nodiscard]] std::string FindDifference() const;

  [[nodiscard]] bool IsUp(int index) const { return this->instances[Index(index)].up; }
  [[nodiscard]] FleetView ViewOf(int index) const;
  [[nodiscard]] std::uint64_t RevisionOf(int index) const;
  [[nodiscard]] std::uint64_t StoreReads() const { return this->store_reads; }
  [[nodiscard]] std::uint64_t Messages() const { return this->messages; }
  [[nodiscard]] std::size_t MostUpdates() const { return this->most_updates; }

 private:
  struct SimulatedInstance {
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ReplicaTracker> replica;
    bool up = false;
    bool paused = false;
    std::uint64_t generation = 0;
    std::uint64_t highest_revision = 0;
    framework::TimerSubscription ticks;
  };

  static std::size_t Index(int index) { return static_cast<std::size_t>(index); }
  static std::string AddressOf(int index) { return "address-" + std::to_string(index); }
  static std::string NameOf(int index) { return "instance-" + std::to_string(index); }

  void Tick(int index);
  void Execute(int index, const MembershipEffects& effects);
  void Execute(int index, const ReplicaEffects& effects);
  void Send(int from, const SendHeartbeat& send);
  void Answer(int from, int to, const SendHeartbeat& send, std::uint64_t generation);
  void Deliver(int from, const std::string& address, const std::function<void(int)>& action);
  void ReceiveRevision(int index, std::uint64_t revision);
  void OnPeerRevision(int index, const Heartbeat& heartbeat);
  [[nodiscard]] bool CanReach(int from, int to);
  [[nodiscard]] int InstanceAt(const std::string& address) const;
  void After(std::chrono::milliseconds delay, std::function<void()> action);
  [[nodiscard]] std::chrono::milliseconds Latency();

  std::unique_ptr<framework::TimerService> timers = framework::TimerService::Manual();
  std::mt19937_64 random;
  InjectedFault fault;
  std::vector<SimulatedInstance> instances;
  std::set<int> partition;
  double message_loss = 0;
  bool store_down = false;
  std::uint64_t store_revision = 0;
  std::uint64_t store_reads = 0;
  std::uint64_t messages = 0;
  std::size_t most_updates = 0;
  std::uint64_t incarnation = 1;
  std::map<std::uint64_t, framework::TimerSubscription> events;
  std::uint64_t next_event = 0;
};

}  // namespace lentilhead::fleet::internal
