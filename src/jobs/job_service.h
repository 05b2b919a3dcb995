#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "jobs/internal/owned_job.h"
#include "jobs/job_directory.h"
#include "jobs/job_store.h"
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
  void ChangeClaims(const std::vector<rowstore::Row>& rows);

  /// Starts a job that this node has just accepted.
  void StartJob(const Claim& claim, JobSpec spec);

  /// Applies a claim if it is newer than the known one.
  void UpdateClaim(const Claim& claim);

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

 private:
  using Job = std::shared_ptr<internal::OwnedJob>;

  void Drop(const Job& job, std::string_view reason);
  void HandleRemovedClaim(const std::string& job);
  bool StartNextItem();
  void StartItem(const Job& job, std::size_t item, gateway::EndpointLease lease);
  void GiveUpLateItems(const Job& job);
  void GiveUpIfRouteMissing(const Job& job, bool exists);
  void TakeOverOrphans();
  void RemoveExpiredJobs();
  [[nodiscard]] bool IsOrphan(const Claim& claim) const;
  net::asio::awaitable<void> TakeOver(Claim claim);
  net::asio::awaitable<void> RunItem(Job job, std::shared_ptr<internal::ItemAttempt> attempt,
                                     gateway::EndpointLease lease);
  net::asio::awaitable<void> CommitResults(Job job);
  net::asio::awaitable<void> HandOverJob(Job job);
  net::asio::awaitable<void> SaveProgress(Job job);
  void SaveProgressIfDue(const Job& job, net::SteadyTime now);
  net::asio::awaitable<void> RemoveJob(Claim claim);

  gateway::Gateway& gateway;
  JobStore& store;
  peers::PeerExchange& peers;
  peers::NodePresence& presence;
  std::chrono::milliseconds retention;
  JobDirectory directory;
  std::map<std::string, Job> owned;
  std::map<std::string, bool> takeovers;  ///< jobs whose takeover is in progress
  net::SteadyTime started;
  net::SteadyTime last_cleanup;
};

}  // namespace lentilhead::jobs
