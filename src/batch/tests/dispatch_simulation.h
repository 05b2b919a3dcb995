#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "batch/internal/endpoint_grant.h"
#include "batch/internal/grant_policy.h"
#include "batch/internal/job_ledger.h"
#include "batch/internal/shard_lease.h"

namespace lentilhead::batch::internal {

/// Faults that a test injects to show that a check detects them.
enum class InjectedFault { kNone, kIgnoreEtag, kCommitAfterCancel, kNoGrantWait, kIgnoreGrant };

/// Simulates several processes that own one job and send to one endpoint, with a store that loses
/// answers.
///
/// Each step advances the time and runs one process. Processes crash, pause, and disagree about who
/// owns the job and the endpoint. The simulation checks what reaches the store and the endpoint.
class DispatchSimulation {
 public:
  DispatchSimulation(std::uint64_t seed, InjectedFault fault, bool with_cancel);

  /// Runs steps with faults, then steps without faults until the job ends, then further steps with
  /// faults.
  void Run(int steps);

  /// Names of the violations that the checks have found.
  std::set<std::string> violations;

  [[nodiscard]] bool IsOver() const { return this->row.state != JobState::kOpen; }
  [[nodiscard]] const JobRecord& Row() const { return this->row; }
  [[nodiscard]] std::size_t CommittedItems() const { return this->committed.size(); }
  [[nodiscard]] int Steps() const { return this->steps; }

 private:
  struct Process {
    explicit Process(std::string name);

    std::string name;
    int runs = 0;
    framework::MonotonicTime paused_until;
    framework::MonotonicTime no_view_until;  ///< Receives no views of the fleet until then.
    std::unique_ptr<ShardLease> lease;
    std::unique_ptr<JobLedger> ledger;
    bool claiming = false;
    bool writing = false;
    std::uint64_t sequence = 0;
    bool exchanging = false;
    EndpointGrant grant{std::chrono::milliseconds(3'000)};
    std::unique_ptr<GrantPolicy> policy;
    std::set<std::uint64_t> running;           ///< Attempts in flight at the endpoint.
    std::map<std::uint64_t, ItemGrant> items;  ///< Held items, by attempt.
    std::vector<ItemResult> outbox;
  };

  /// Action of a process that is due at a later time.
  struct Event {
    framework::MonotonicTime due;
    std::size_t process;
    int run;
    std::function<void(Process&)> action;
  };

  void Step(bool faults);
  void Crash(Process& process);
  void StepLease(std::size_t index);
  void StepJob(std::size_t index);
  void StepEndpoint(std::size_t index);
  void WriteLedger(std::size_t index, const LedgerWrite& write);
  void RereadRow(std::size_t index);
  void Exchange(std::size_t index);
  void Commit(const LedgerWrite& write);
  void StartItem(Process& process, const ItemGrant& grant);
  void EndItems(Process& process);
  void SampleLoad(std::size_t index);
  void RunEvents();
  void Schedule(std::size_t index, std::function<void(Process&)> action);
  [[nodiscard]] std::size_t InFlight() const;
  bool Chance(int percent);

  std::mt19937_64 random;
  InjectedFault fault;
  bool with_cancel;
  bool faults_on = true;
  int steps = 0;
  framework::MonotonicTime now{std::chrono::hours(1)};
  framework::WallTime wall_now{std::chrono::hours(24)};
  JobRecord row;
  int row_etag = 1;
  std::optional<LeaseRow> lease_row;
  int lease_etag = 0;
  std::set<std::uint32_t> committed;
  std::vector<Process> processes;
  std::vector<Event> events;
  std::size_t job_owner = 0;       ///< Index of the owner according to the true view.
  std::size_t endpoint_owner = 0;  ///< Index of the owner according to the true view.
  std::vector<framework::MonotonicTime> last_starts;  ///< Last start of an item, by process.
  std::set<std::uint64_t> attempts_in_flight;         ///< At the endpoint, of all processes.
  LedgerLimits limits;
};

}  // namespace lentilhead::batch::internal
