#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "jobs/internal/item_run.h"
#include "jobs/internal/item_starts.h"
#include "jobs/internal/owned_job.h"
#include "jobs/internal/start_room.h"
#include "jobs/item_order.h"
#include "jobs/item_pace.h"
#include "jobs/job_directory.h"
#include "jobs/job_store.h"
#include "jobs/token_drain.h"
#include "jobs/types/memory_need.h"
#include "jobs/types/route_state.h"
#include "peers/node_presence.h"
#include "peers/peer_exchange.h"

namespace lentilhead::jobs {

/// Owns batch jobs: takes them over, runs their items in slots that online work leaves free, and
/// commits their results.
class JobService {
 public:
  JobService(gateway::Gateway& gateway, JobStore& store, peers::PeerExchange& peers,
             peers::NodePresence& presence, std::chrono::milliseconds retention);

  /// Applies a snapshot of all claims; removes older jobs that it does not contain.
  /// @param version version of the store at the snapshot.
  void ReplaceClaims(const std::vector<rowstore::Row>& rows, rowstore::Version version);

  /// Applies changed and removed claims.
  /// @param version version of the store that the changes reach up to.
  void ChangeClaims(const std::vector<rowstore::Row>& rows, rowstore::Version version);

  /// Reads the claims that changed since the last ones that this node has.
  /// @param at_least version of the store that the claims must include.
  /// @return whether they do; false if the store did not answer in time.
  net::asio::awaitable<bool> RefreshClaims(rowstore::Version at_least, net::SteadyTime deadline);

  /// Tells whether this node runs a job of a service that it accepts now.
  [[nodiscard]] bool RunsNewJob(const std::string& service) const;

  /// Starts a job that this node has just accepted.
  void StartJob(const Claim& claim, JobSpec spec);

  /// Applies a claim if it is newer than the known one.
  void UpdateClaim(const Claim& claim);

  /// The claims that this node knows.
  [[nodiscard]] const JobDirectory& Directory() const { return this->directory; }

  /// Returns the delay after which a caller whose job exceeds a route's limit is to return.
  /// @param excess tokens beyond the limit.
  [[nodiscard]] std::chrono::milliseconds RetryAfter(const std::string& route, std::int64_t excess);

  /// Sets the metrics of the waiting tokens of each route.
  void UpdateGauges();

  [[nodiscard]] const Claim* FindClaim(const std::string& job) const {
    return this->directory.Find(job);
  }

  /// Runs the owned jobs and takes over others until the event loop stops.
  net::asio::awaitable<void> Run();

  /// Cancels batch items at endpoints where online work waits.
  void YieldToOnline();

  /// Starts to hand over every owned job, with the progress of its items.
  void HandOver();

  [[nodiscard]] std::size_t OwnedCount() const { return this->owned.size(); }

  /// Whether this node holds the claim of no job, and is not about to.
  [[nodiscard]] bool IsIdle() const { return this->owned.empty() && this->takeovers.empty(); }

 private:
  using Job = std::shared_ptr<internal::OwnedJob>;

  /// The item to start next, and the service that it goes to.
  struct ItemStart {
    Job job;
    std::size_t item = 0;
    std::string service;
  };

  /// Adds a job that this node owns from now on, unless its claim has changed since it was read.
  /// @return whether the job was added.
  [[nodiscard]] bool Own(Job job);
  void Drop(const Job& job, std::string_view reason);
  void HandleRemovedClaim(const std::string& job);
  /// Whether an item needs no more memory than this, in tokens.
  [[nodiscard]] bool Fits(const internal::OwnedJob& job, std::size_t item, double memory,
                          net::SteadyTime now) const;
  /// Returns the next item of a job that may be sent; puts off those with a held part.
  /// @param memory largest need for memory of the item, in tokens.
  [[nodiscard]] std::optional<std::size_t> NextAllowedItem(internal::OwnedJob& job, double memory,
                                                           net::SteadyTime now);
  /// Returns the most urgent item that there is room for.
  [[nodiscard]] std::optional<ItemStart> NextStart(const internal::StartRoom& room);
  bool StartNextItem();
  /// Whether the service lists an endpoint that has not claimed the end of an item yet.
  [[nodiscard]] bool ListsOtherEndpoint(const gateway::EndClaims& claims,
                                        const std::string& service) const;
  /// Returns the ids of endpoints that must not run an item next, because another one is to
  /// confirm the end that they claim; none if no other endpoint is listed.
  [[nodiscard]] std::vector<std::string> EndpointsToAvoid(const ItemStart& start) const;
  /// Outcome of an attempt whose answer ended without a proof that the output is whole.
  /// @param outcome of the attempt.
  /// @param endpoint entry of the endpoint that answered.
  internal::ItemRunOutcome AfterEndClaim(ItemProgress& progress,
                                         const gateway::EndpointEntry& endpoint,
                                         internal::ItemRunOutcome outcome) const;
  /// Adds the expected cost of an item to the choice of its endpoint.
  void AddCost(const ItemStart& start, gateway::ChoiceRequest& choice) const;
  [[nodiscard]] ItemCandidate CandidateOf(const internal::OwnedJob& job, std::size_t item) const;
  /// Returns the attempt at an endpoint that is to yield next, or null.
  [[nodiscard]] std::shared_ptr<internal::ItemAttempt> NextToYield(
      const gateway::EndpointState& endpoint) const;
  /// Records the online requests of each service that is placed by work.
  void RecordOnline();
  /// Slots of a service in this node's group, and their use.
  [[nodiscard]] GroupUse GroupUseOf(const std::string& service) const;
  /// Sums up the work of the owned jobs, if that was done some time ago.
  void SumUpWork(internal::ItemStarts& starts) const;
  /// Decides whether an item that could run in a free slot starts now.
  [[nodiscard]] StartReason DecideStart(const ItemStart& next);
  /// Logs and counts a decision; one that repeats the last is not logged again.
  void NoteHeld(const ItemStart& next, StartReason reason, MemoryNeed memory = {});
  void NoteStarted(const ItemStart& next, StartReason reason, const std::string& endpoint);
  void RecordPace(internal::OwnedJob& job, const internal::ItemAttempt& attempt, bool completed);
  void StartItem(const Job& job, std::size_t item, gateway::EndpointLease lease);
  void GiveUpLateItems(const Job& job);
  /// Gives up the rest of a job once its route has been removed.
  void NoteRoute(const Job& job, RouteState state);
  void TakeOverOrphans();
  void RemoveExpiredJobs();
  void RemoveAbandonedSubmissions();
  net::asio::awaitable<void> WithdrawAbandoned(Claim claim);
  void NoteDrained(const Claim& claim);
  /// Returns the limit on the waiting tokens of a job's route; 0 for none.
  [[nodiscard]] std::int64_t TokenLimitOf(const Claim& claim) const;
  [[nodiscard]] bool IsOrphan(const Claim& claim) const;
  net::asio::awaitable<void> TakeOver(Claim claim);
  net::asio::awaitable<void> RunItem(Job job, std::shared_ptr<internal::ItemAttempt> attempt,
                                     gateway::EndpointLease lease);
  net::asio::awaitable<void> CommitResults(Job job);
  net::asio::awaitable<void> HandOverJob(Job job);
  /// Gives up the claim of a job that this node has taken over, but not begun to run.
  net::asio::awaitable<void> GiveBack(Claim claim);
  net::asio::awaitable<void> SaveProgress(Job job);
  void SaveProgressIfDue(const Job& job, net::SteadyTime now);
  net::asio::awaitable<void> RemoveJob(Claim claim);

  gateway::Gateway& gateway;
  JobStore& store;
  peers::PeerExchange& peers;
  peers::NodePresence& presence;
  std::chrono::milliseconds retention;
  JobDirectory directory;
  rowstore::Version claims_version = 0;      ///< the directory includes all claims up to it
  std::map<std::string, TokenDrain> drains;  ///< by route
  std::map<std::string, Job> owned;
  std::map<std::string, bool> takeovers;  ///< jobs whose takeover is in progress
  ItemPace pace;
  std::map<std::string, internal::ItemStarts> starts;  ///< by service that is placed by work
  net::asio::steady_timer run_timer;
  net::SteadyTime started;
  net::SteadyTime last_cleanup;
  net::SteadyTime last_submission_cleanup;
};

}  // namespace lentilhead::jobs
