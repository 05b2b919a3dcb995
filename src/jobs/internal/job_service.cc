#include "jobs/job_service.h"

#include <algorithm>

#include "jobs/internal/job_rows.h"
#include "jobs/internal/unix_time.h"
#include "jobs/new_job_placement.h"
#include "net/log_line.h"
#include "net/spawn.h"

namespace lentilhead::jobs {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kTick{40};
constexpr milliseconds kIdleTick{200};  // while this node owns no job
// After its start a node takes over no job for this time: messages of live peers may not have
// arrived yet.
constexpr milliseconds kPeerDiscoveryTime{1000};
constexpr milliseconds kTakeoverTimeout{3000};
constexpr milliseconds kCleanupPeriod{10000};
// Largest difference expected between the clocks of two machines.
constexpr milliseconds kClockSkewMargin{5000};
// Results are stored well past the retention time promised to callers.
constexpr int kRetentionFactor = 3;
// Limits the starts per tick, so that peers learn of the load before further items start.
constexpr int kStartsPerTick = 2;

}  // namespace

JobService::JobService(gateway::Gateway& gateway, JobStore& store, peers::PeerExchange& peers,
                       peers::NodePresence& presence, milliseconds retention)
    : gateway(gateway),
      store(store),
      peers(peers),
      presence(presence),
      retention(retention),
      run_timer(gateway.executor),
      started(net::Now()) {}

void JobService::ReplaceClaims(const std::vector<rowstore::Row>& rows, rowstore::Version version) {
  std::set<std::string> snapshot_jobs;
  for (const rowstore::Row& row : rows) {
    if (!row.removed) {
      snapshot_jobs.insert(row.key.key);
    }
  }
  for (const std::string& job : this->directory.RetainOnly(snapshot_jobs, version)) {
    this->HandleRemovedClaim(job);
  }
  this->ChangeClaims(rows, version);
}

void JobService::HandleRemovedClaim(const std::string& job) {
  net::LogLine("job_claim_removed").With("job", job).With("reason", "claim_removed");
  if (const auto owned = this->owned.find(job); owned != this->owned.end()) {
    const Job job_to_drop = owned->second;
    this->Drop(job_to_drop, "claim_removed");
  }
}

void JobService::ChangeClaims(const std::vector<rowstore::Row>& rows, rowstore::Version version) {
  this->claims_version = std::max(this->claims_version, version);
  for (const rowstore::Row& row : rows) {
    if (row.removed) {
      const rowstore::Version removed_at = row.version > 0 ? row.version : version;
      if (this->directory.Remove(row.key.key, removed_at)) {
        this->HandleRemovedClaim(row.key.key);
      }
    } else if (const std::optional<Claim> claim = internal::DecodeClaim(row)) {
      this->UpdateClaim(*claim);
    }
  }
}

void JobService::UpdateClaim(const Claim& claim) {
  this->NoteDrained(claim);
  if (!this->directory.Put(claim)) {
    return;
  }
  if (claim.state == JobState::kOpen && !claim.owner.empty()) {
    this->presence.NoteWriter(claim.owner);
  }
  const auto owned = this->owned.find(claim.job);
  if (owned == this->owned.end()) {
    return;
  }
  const Job job = owned->second;
  if (claim.version <= job->claim.version) {
    return;
  }
  if (claim.owner == this->peers.Incarnation() && claim.state == JobState::kOpen) {
    job->claim = claim;
  } else if (claim.owner != this->peers.Incarnation()) {
    this->Drop(job, "owned_elsewhere");
  } else if (claim.state != JobState::kOpen) {
    this->Drop(job, claim.state == JobState::kEnded ? "ended" : "done");
  }
}

bool JobService::RunsNewJob(const std::string& service) const {
  std::size_t waiting_items = 0;
  for (const auto& [id, job] : this->owned) {
    waiting_items += job->items.WaitingItems();
  }
  const peers::PeerGroups& groups = this->presence.Groups();
  return NewJobPlacement::RunsHere(waiting_items, this->gateway.registry.GroupSlots(service),
                                   groups.OwnGroup().size(), groups.Count());
}

void JobService::StartJob(const Claim& claim, JobSpec spec) {
  this->directory.Put(claim);
  if (claim.owner != this->peers.Incarnation() || this->owned.contains(claim.job)) {
    return;
  }
  auto job = std::make_shared<internal::OwnedJob>(claim, ItemTracker(std::move(spec), {}));
  if (!this->Own(std::move(job))) {
    return;
  }
  net::LogLine("job_started")
      .With("job", claim.job)
      .With("items", claim.total)
      .With("claim", claim.version);
}

bool JobService::Own(Job job) {
  if (!this->directory.IsNewest(job->claim)) {
    net::LogLine("job_dropped")
        .With("job", job->claim.job)
        .With("reason", "changed_meanwhile")
        .With("claim", job->claim.version);
    return false;
  }
  const bool was_idle = this->owned.empty();
  this->owned[job->claim.job] = job;
  if (was_idle) {
    this->run_timer.cancel();
  }
  if (this->gateway.stopping) {
    // The store confirmed the claim only after HandOver().
    net::Spawn(this->gateway.executor, "hand_over_job", this->HandOverJob(std::move(job)));
  }
  return true;
}

void JobService::Drop(const Job& job, std::string_view reason) {
  job->is_dropped = true;
  const auto attempts = job->attempts;
  for (const auto& attempt : attempts) {
    attempt->cancel.Cancel();
  }
  this->owned.erase(job->claim.job);
  net::LogLine("job_dropped")
      .With("job", job->claim.job)
      .With("reason", reason)
      .With("listed", job->items.NextPosition())
      .With("claim", job->claim.version);
}

bool JobService::IsOrphan(const Claim& claim) const {
  return claim.state == JobState::kOpen &&
         (claim.owner.empty() || !this->presence.IsAlive(claim.owner, net::Now())) &&
         !this->owned.contains(claim.job);
}

void JobService::TakeOverOrphans() {
  const net::SteadyTime now = net::Now();
  if (this->gateway.stopping || now - this->started < kPeerDiscoveryTime) {
    return;
  }
  std::vector<std::string> alive;
  for (auto& [id, entry] : this->directory.Entries()) {
    const bool is_own = entry.claim.owner == this->peers.Incarnation() &&
                        entry.claim.state == JobState::kOpen && !this->owned.contains(id);
    if (!is_own && !this->IsOrphan(entry.claim)) {
      entry.orphan_since = {};
      continue;
    }
    if (entry.orphan_since == net::SteadyTime{}) {
      entry.orphan_since = now;
    }
    if (alive.empty()) {
      alive = this->peers.Alive();
    }
    // With an empty list this node ranks first.
    const milliseconds delay = TakeoverPolicy::Delay(
        id, is_own ? std::vector<std::string>{} : alive, this->peers.Incarnation(),
        is_own ? 0 : this->presence.Groups().GroupsBefore(id));
    if (now - entry.orphan_since >= delay && !this->takeovers[id]) {
      this->takeovers[id] = true;
      net::Spawn(this->gateway.executor, "take_over_job", this->TakeOver(entry.claim));
    }
  }
}

awaitable<void> JobService::TakeOver(Claim claim) {
  const std::string id = claim.job;
  const std::string former_owner = claim.owner;
  claim.owner = this->peers.Incarnation();
  ClaimOutcome outcome =
      co_await this->store.ReplaceClaim(claim, {}, net::Now() + kTakeoverTimeout);
  const auto* current = std::get_if<Claim>(&outcome);
  if (current != nullptr && current->owner == this->peers.Incarnation() &&
      current->state == JobState::kOpen) {
    const Claim taken = *current;
    this->UpdateClaim(taken);
    std::optional<StoredJob> stored;
    if (!this->gateway.stopping) {
      stored = co_await this->store.ReadJob(taken, net::Now() + kTakeoverTimeout);
    }
    if (this->gateway.stopping) {
      co_await this->GiveBack(taken);
    } else if (stored && !this->owned.contains(id)) {
      const std::size_t committed = stored->committed.size();
      auto job = std::make_shared<internal::OwnedJob>(
          taken, ItemTracker(std::move(stored->spec), stored->committed));
      for (auto& [item, progress] : stored->progress) {
        job->items.Restore(item, std::move(progress));
      }
      if (this->Own(job)) {
        net::LogLine("job_taken_over")
            .With("job", id)
            .With("former_owner", former_owner)
            .With("listed", committed)
            .With("items", taken.total)
            .With("claim", taken.version);
      }
    }
  } else if (current != nullptr) {
    this->UpdateClaim(*current);
  } else {
    net::LogLine("job_takeover_failed").With("job", id).With("former_owner", former_owner);
  }
  this->takeovers.erase(id);
}

void JobService::GiveUpLateItems(const Job& job) {
  const Claim& claim = job->claim;
  if (claim.give_up_after_ms <= 0 || internal::UnixTimeMs() < claim.accepted_unix_ms +
                                                                  claim.give_up_after_ms +
                                                                  kClockSkewMargin.count()) {
    return;
  }
  const auto attempts = job->attempts;
  for (const auto& attempt : attempts) {
    attempt->cancel.Cancel();
  }
  net::LogLine("job_items_given_up").With("job", claim.job).With("reason", "time_over");
  job->items.GiveUpRest();
}

awaitable<void> JobService::Run() {
  while (true) {
    this->TakeOverOrphans();
    const std::map<std::string, Job> jobs = this->owned;
    for (const auto& [id, job] : jobs) {
      if (!job->items.IsCompleteAfter(0)) {
        this->GiveUpLateItems(job);
      }
      this->SaveProgressIfDue(job, net::Now());
      if (job->items.HasUncommitted() && !job->is_committing && !job->is_dropped) {
        job->is_committing = true;
        net::Spawn(this->gateway.executor, "commit_results", this->CommitResults(job));
      }
    }
    this->RecordOnline();
    for (int count = 0; count < kStartsPerTick && !this->gateway.stopping; ++count) {
      if (!this->StartNextItem()) {
        break;
      }
    }
    this->YieldToOnline();
    this->RemoveExpiredJobs();
    this->RemoveAbandonedSubmissions();
    this->run_timer.expires_after(this->owned.empty() ? kIdleTick : kTick);
    co_await this->run_timer.async_wait(net::kAwaitWithError);
  }
}

void JobService::RemoveExpiredJobs() {
  const net::SteadyTime now = net::Now();
  if (now - this->last_cleanup < kCleanupPeriod) {
    return;
  }
  this->last_cleanup = now;
  const std::vector<std::string> alive = this->peers.Alive();
  for (const auto& [id, entry] : this->directory.Entries()) {
    const bool is_old = internal::UnixTimeMs() - entry.claim.accepted_unix_ms >
                        kRetentionFactor * this->retention.count();
    const bool is_first = TakeoverPolicy::IsFirst(id, alive, this->peers.Incarnation(),
                                                  this->presence.Groups().GroupsBefore(id));
    if (entry.claim.state != JobState::kOpen && is_old && is_first) {
      net::Spawn(this->gateway.executor, "remove_job", this->RemoveJob(entry.claim));
      return;
    }
  }
}

awaitable<void> JobService::RemoveJob(Claim claim) {
  net::LogLine("job_removed").With("job", claim.job).With("reason", "retention_over");
  co_await this->store.Remove(claim, net::Now() + kTakeoverTimeout);
}

}  // namespace lentilhead::jobs
