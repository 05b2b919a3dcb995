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

/// Owns batch jobs: takes them over, runs their items in room that online work leaves, and lists
/// their results.
class JobService {
 public:
  JobService(gateway::Gateway& gateway, JobStore& store, peers::PeerExchange& peers,
             peers::NodePresence& presence, std::chrono::milliseconds retention);

  /// Takes over all claims as read from the store; jobs that the reading lacks are forgotten.
  /// @param version version of the store that the reading shows.
  void ReplaceClaims(const std::vector<rowstore::Row>& rows, rowstore::Version version);

  /// Takes over claims that have changed or were removed.
  void ChangeClaims(const std::vector<rowstore::Row>& rows);

  /// Starts work on a job that this node has just accepted.
  void StartJob(const Claim& claim, JobSpec spec);

  /// Notes a claim that was learnt by a call.
  void UpdateClaim(const Claim& claim);

  [[nodiscard]] const Claim* FindClaim(const std::string& job) const {
    return this->directory.Find(job);
  }

  /// Looks after the jobs until the event loop stops.
  net::asio::awaitable<void> Run();

  /// Ends batch work at endpoints where online work waits.
  void YieldToOnline();

  /// Starts to hand every job back, with how far its items have come.
  void HandOver();

  /// Number of jobs that this node owns.
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
  std::map<std::string, bool> takeovers;  ///< jobs of which a take-over is under way
  net::SteadyTime started;
  net::SteadyTime last_cleanup;
};

}  // namespace lentilhead::jobs
