#include "jobs/job_service.h"

#include <algorithm>

#include "jobs/internal/job_rows.h"
#include "jobs/internal/unix_time.h"
#include "net/log_line.h"

namespace lentilhead::jobs {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kTick{40};
constexpr milliseconds kSettlingTime{1000};  // after a start: peers are heard of by then
constexpr milliseconds kTakeOverLimit{3000};
constexpr milliseconds kCollectionPeriod{10000};
constexpr milliseconds kClockMargin{5000};  // between the times of day of two machines
constexpr int kRetentionFactor = 3;         // kept well past what callers were promised
constexpr int kStartsPerTick = 2;           // peers see the starts before the next ones

}  // namespace

JobService::JobService(gateway::Gateway& gateway, JobStore& store, peers::PeerExchange& peers,
                       peers::NodePresence& presence, milliseconds retention)
    : gateway(gateway),
      store(store),
      peers(peers),
      presence(presence),
      retention(retention),
      started(net::Now()) {}

void JobService::ReplaceClaims(const std::vector<rowstore::Row>& rows, rowstore::Version version) {
  std::set<std::string> listed;
  for (const rowstore::Row& row : rows) {
    if (!row.removed) {
      listed.insert(row.key.key);
    }
  }
  for (const std::string& job : this->directory.RetainOnly(listed, version)) {
    this->ForgetRemoved(job);
  }
  this->ChangeClaims(rows);
}

void JobService::ForgetRemoved(const std::string& job) {
  net::LogLine("job_forgotten").With("job", job).With("reason", "claim_removed");
  if (const auto owned = this->owned.find(job); owned != this->owned.end()) {
    const Job held = owned->second;
    this->Drop(held, "claim_removed");
  }
}

void JobService::ChangeClaims(const std::vector<rowstore::Row>& rows) {
  for (const rowstore::Row& row : rows) {
    if (row.removed) {
      this->directory.Remove(row.key.key);
      this->ForgetRemoved(row.key.key);
    } else if (const std::optional<Claim> claim = internal::DecodeClaim(row)) {
      this->NoteClaim(*claim);
    }
  }
}

void JobService::NoteClaim(const Claim& claim) {
  if (!this->directory.Put(claim)) {
    return;
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

void JobService::Begin(const Claim& claim, JobSpec spec) {
  this->directory.Put(claim);
  if (claim.owner != this->peers.Incarnation() || this->owned.contains(claim.job)) {
    return;
  }
  this->owned[claim.job] =
      std::make_shared<internal::OwnedJob>(claim, JobLedger(std::move(spec), {}));
  net::LogLine("job_begun")
      .With("job", claim.job)
      .With("items", claim.total)
      .With("claim", claim.version);
}

void JobService::Drop(const Job& job, std::string_view reason) {
  job->is_lost = true;
  const auto runs = job->runs;
  for (const auto& run : runs) {
    run->cancel.Cancel();
  }
  this->owned.erase(job->claim.job);
  net::LogLine("job_dropped")
      .With("job", job->claim.job)
      .With("reason", reason)
      .With("listed", job->ledger.NextPosition())
      .With("claim", job->claim.version);
}

bool JobService::IsOrphan(const Claim& claim) const {
  return claim.state == JobState::kOpen &&
         (claim.owner.empty() || !this->presence.IsAlive(claim.owner)) &&
         !this->owned.contains(claim.job);
}

void JobService::TakeOrphans() {
  const net::SteadyTime now = net::Now();
  if (this->gateway.stopping || now - this->started < kSettlingTime) {
    return;
  }
  std::vector<std::string> alive;
  for (auto& [id, entry] : this->directory.Entries()) {
    const bool own_again = entry.claim.owner == this->peers.Incarnation() &&
                           entry.claim.state == JobState::kOpen && !this->owned.contains(id);
    if (!own_again && !this->IsOrphan(entry.claim)) {
      entry.orphan_since = {};
      continue;
    }
    if (entry.orphan_since == net::SteadyTime{}) {
      entry.orphan_since = now;
    }
    if (alive.empty()) {
      alive = this->peers.Alive();
    }
    // Without peers in the list this node is the first in rank.
    const milliseconds delay = TakeoverPolicy::Delay(
        id, own_again ? std::vector<std::string>{} : alive, this->peers.Incarnation());
    if (now - entry.orphan_since >= delay && !this->taking[id]) {
      this->taking[id] = true;
      net::asio::co_spawn(this->gateway.executor, this->TakeOver(entry.claim), net::asio::detached);
    }
  }
}

awaitable<void> JobService::TakeOver(Claim claim) {
  const std::string id = claim.job;
  const std::string former = claim.owner;
  claim.owner = this->peers.Incarnation();
  ClaimOutcome outcome = co_await this->store.Replace(claim, {}, net::Now() + kTakeOverLimit);
  const auto* present = std::get_if<Claim>(&outcome);
  if (present != nullptr && present->owner == this->peers.Incarnation() &&
      present->state == JobState::kOpen) {
    const Claim taken = *present;
    this->NoteClaim(taken);
    std::optional<StoredJob> stored =
        co_await this->store.ReadJob(taken, net::Now() + kTakeOverLimit);
    if (stored && !this->owned.contains(id) && !this->gateway.stopping) {
      const std::size_t listed = stored->listed.size();
      auto job = std::make_shared<internal::OwnedJob>(
          taken, JobLedger(std::move(stored->spec), stored->listed));
      for (auto& [item, progress] : stored->progress) {
        job->ledger.Restore(item, std::move(progress));
      }
      this->owned[id] = job;
      net::LogLine("job_taken_over")
          .With("job", id)
          .With("former_owner", former)
          .With("listed", listed)
          .With("items", taken.total)
          .With("claim", taken.version);
    }
  } else if (present != nullptr) {
    this->NoteClaim(*present);
  } else {
    net::LogLine("job_takeover_failed").With("job", id).With("former_owner", former);
  }
  this->taking.erase(id);
}

void JobService::GiveUpLateItems(const Job& job) {
  const Claim& claim = job->claim;
  if (claim.give_up_after_ms <= 0 || internal::UnixNow() < claim.accepted_unix_ms +
                                                               claim.give_up_after_ms +
                                                               kClockMargin.count()) {
    return;
  }
  const auto runs = job->runs;
  for (const auto& run : runs) {
    run->cancel.Cancel();
  }
  net::LogLine("job_items_given_up").With("job", claim.job).With("reason", "time_over");
  job->ledger.GiveUpRest();
}

awaitable<void> JobService::Run() {
  net::asio::steady_timer timer(this->gateway.executor);
  while (true) {
    this->TakeOrphans();
    const std::map<std::string, Job> jobs = this->owned;
    for (const auto& [id, job] : jobs) {
      if (!job->ledger.IsCompleteAfter(0)) {
        this->GiveUpLateItems(job);
      }
      this->SaveProgressInTurn(job, net::Now());
      if (job->ledger.HasUncommitted() && !job->is_writing && !job->is_lost) {
        job->is_writing = true;
        net::asio::co_spawn(this->gateway.executor, this->Write(job), net::asio::detached);
      }
    }
    for (int count = 0; count < kStartsPerTick && !this->gateway.stopping; ++count) {
      if (!this->StartNextItem()) {
        break;
      }
    }
    this->YieldToOnline();
    this->CollectOld();
    timer.expires_after(kTick);
    co_await timer.async_wait(net::kAwaitWithError);
  }
}

void JobService::CollectOld() {
  const net::SteadyTime now = net::Now();
  if (now - this->last_collection < kCollectionPeriod) {
    return;
  }
  this->last_collection = now;
  const std::vector<std::string> alive = this->peers.Alive();
  for (const auto& [id, entry] : this->directory.Entries()) {
    const bool is_old = internal::UnixNow() - entry.claim.accepted_unix_ms >
                        kRetentionFactor * this->retention.count();
    const bool is_first = TakeoverPolicy::Delay(id, alive, this->peers.Incarnation()) ==
                          TakeoverPolicy::Delay(id, {}, this->peers.Incarnation());
    if (entry.claim.state != JobState::kOpen && is_old && is_first) {
      net::asio::co_spawn(this->gateway.executor, this->RemoveOld(entry.claim),
                          net::asio::detached);
      return;
    }
  }
}

awaitable<void> JobService::RemoveOld(Claim claim) {
  net::LogLine("job_removed").With("job", claim.job).With("reason", "retention_over");
  co_await this->store.Remove(claim, net::Now() + kTakeOverLimit);
}

}  // namespace lentilhead::jobs
