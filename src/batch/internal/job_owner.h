#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "batch/internal/batch_parts.h"
#include "batch/internal/garbage_collector.h"
#include "batch/internal/lease_keeper.h"
#include "batch/internal/open_entry.h"
#include "batch/internal/owned_job.h"

namespace lentilhead::batch::internal {

/// The job owner's side of dispatch: finds the jobs of the shards whose leases this process holds,
/// takes them over, offers their items, and commits results.
class JobOwner {
 public:
  explicit JobOwner(BatchParts& parts);
  JobOwner(const JobOwner&) = delete;
  JobOwner& operator=(const JobOwner&) = delete;

  void OnView(const fleet::FleetView& new_view);

  /// Performs the periodic work. Called every tick.
  void OnTick();

  /// Handles one exchange with an endpoint owner.
  ExchangeReply OnExchange(ExchangeRequest request);

  /// Hands over all jobs, then releases their leases.
  void Drain();

  /// Returns true if no job is owned and no lease is left to release.
  [[nodiscard]] bool IsIdle() const { return this->jobs.empty() && this->leases.IsIdle(); }

 private:
  void Scan(int shard);
  void OnScanned(int shard, const std::vector<datastore::TableRow>& rows);
  void ProcessJob(int shard, const std::string& job, std::vector<OpenEntry> entries);
  void OnJobRow(const std::string& job, const datastore::TableRow& row,
                const std::vector<OpenEntry>& entries);
  void Claim(const JobRecord& stored, const std::string& etag);
  void OnClaimed(const JobRecord& stored, const JobRecord& claimed, const std::string& etag);
  void RemoveAbandoned(const std::vector<OpenEntry>& entries, const std::string& kept_upload);
  void ScanEnded(int shard);
  void OnJobEnd(const std::string& job, OwnedJob::End end);
  void StartWrites();
  void ReleaseShards();
  void SendOffers();
  [[nodiscard]] std::size_t UncommittedBytes() const;
  [[nodiscard]] bool MayGrant(const OwnedJob& job) const;
  [[nodiscard]] LedgerLimits Limits() const;

  BatchParts& parts;
  fleet::FleetView view;
  LeaseKeeper leases;
  GarbageCollector garbage_collector;
  std::map<std::string, std::shared_ptr<OwnedJob>> jobs;

  /// Recently ended jobs, with the time of their end.
  std::map<std::string, framework::MonotonicTime> ended;

  /// Jobs being read, claimed or removed, and uploads being removed.
  std::set<std::string> busy_keys;
  std::map<std::string, framework::MonotonicTime> next_read;

  /// Owned jobs, in the round-robin order of their writes.
  std::deque<std::string> write_queue;

  /// Number of the last exchange with each endpoint owner.
  std::map<std::string, std::uint64_t> last_sequences;

  std::map<std::string, framework::HttpCall> offer_calls;
  std::vector<framework::MonotonicTime> last_scan;
  std::vector<framework::MonotonicTime> last_ended_scan;
  std::vector<bool> scanning;
  framework::MonotonicTime last_offers;
  bool offers_due = true;
  bool draining = false;
};

}  // namespace lentilhead::batch::internal
