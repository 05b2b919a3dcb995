#include "batch/internal/job_owner.h"

#include <algorithm>
#include <utility>

#include "batch/internal/job_keys.h"
#include "framework/log_event.h"

namespace lentilhead::batch::internal {

namespace {

using framework::LogEvent;
using framework::Severity;

constexpr std::size_t kMaxConcurrentWrites = 8;
// Time for which the id of an ended job is remembered, to drop items that are still held.
constexpr std::chrono::seconds kEndedRetention{120};
constexpr std::chrono::seconds kEndedScanPeriod{30};

const char* NameOf(OwnedJob::End end) {
  switch (end) {
    case OwnedJob::End::kFinished:
      return "finished";
    case OwnedJob::End::kCancelled:
      return "cancelled";
    case OwnedJob::End::kLost:
      return "lost";
    case OwnedJob::End::kHandedOver:
      return "handed_back";
  }
  return "lost";
}

}  // namespace

JobOwner::JobOwner(BatchParts& parts)
    : parts(parts),
      leases(parts),
      garbage_collector(parts),
      last_scan(static_cast<std::size_t>(parts.settings.shards)),
      last_ended_scan(static_cast<std::size_t>(parts.settings.shards)),
      scanning(static_cast<std::size_t>(parts.settings.shards), false) {}

void JobOwner::OnView(const fleet::FleetView& new_view) {
  this->view = new_view;
  this->leases.OnView(new_view);
}

void JobOwner::OnTick() {
  const framework::MonotonicTime now = this->parts.timers.Now();
  this->leases.OnTick();
  for (int shard = 0; shard < this->leases.ShardCount(); ++shard) {
    const bool held = this->leases.IsHeld(shard) && !this->leases.MustRelease(shard);
    if (held && !this->scanning[shard] &&
        now >= this->last_scan[shard] + this->parts.settings.scan_period) {
      this->Scan(shard);
    }
    if (held && now >= this->last_ended_scan[shard] + kEndedScanPeriod) {
      this->ScanEnded(shard);
    }
  }
  const auto current = this->jobs;
  for (const auto& [id, job] : current) {
    job->OnTick();
  }
  this->StartWrites();
  this->ReleaseShards();
  this->SendOffers();
  std::erase_if(this->ended,
                [&](const auto& entry) { return now >= entry.second + kEndedRetention; });
}

void JobOwner::StartWrites() {
  auto running = static_cast<std::size_t>(std::count_if(
      this->jobs.begin(), this->jobs.end(), [](const auto& e) { return e.second->IsWriting(); }));
  for (std::size_t turns_left = this->write_queue.size();
       turns_left > 0 && running < kMaxConcurrentWrites; --turns_left) {
    const std::string id = std::move(this->write_queue.front());
    this->write_queue.pop_front();
    const auto job = this->jobs.find(id);
    if (job == this->jobs.end()) {
      continue;
    }
    this->write_queue.push_back(id);
    running += job->second->StartWrite() ? 1 : 0;
  }
}

std::size_t JobOwner::UncommittedBytes() const {
  std::size_t bytes = 0;
  for (const auto& [id, job] : this->jobs) {
    bytes += job->Ledger().UncommittedBytes();
  }
  return bytes;
}

bool JobOwner::MayGrant(const OwnedJob& job) const {
  const int shard = ShardOf(job.Ledger().Record().id, this->parts.settings.shards);
  // A call that must not be repeated is granted only under a valid lease. Other items may run twice
  // without harm.
  return job.Ledger().Record().at_most_once ? this->leases.IsHeld(shard)
                                            : this->leases.IsHeldThroughOutage(shard);
}

ExchangeReply JobOwner::OnExchange(ExchangeRequest request) {
  ExchangeReply reply;
  std::uint64_t& last = this->last_sequences[request.puller];
  if (request.sequence <= last) {
    request.wanted.clear();
  }
  last = std::max(last, request.sequence);
  const bool has_capacity = this->UncommittedBytes() < this->parts.settings.max_uncommitted_bytes;
  if (!has_capacity) {
    this->parts.metrics.GetCounter("batch_refusals_total", {{"reason", "uncommitted_results"}})
        .Add();
  }
  const auto current = this->jobs;
  for (const auto& [id, job] : current) {
    job->OnExchange(request, has_capacity && this->MayGrant(*job), reply);
  }
  std::set<std::string> named_jobs;
  for (const auto& [id, held] : request.held) {
    named_jobs.insert(id);
    if (this->ended.contains(id)) {
      reply.dropped[id] = held;
    }
  }
  for (const auto& [id, results] : request.results) {
    named_jobs.insert(id);
  }
  for (const auto& [id, wanted] : request.wanted) {
    named_jobs.insert(id);
  }
  for (const std::string& id : named_jobs) {
    if (!current.contains(id) && !this->ended.contains(id)) {
      reply.unknown_jobs.push_back(id);
    }
  }
  this->StartWrites();
  return reply;
}

void JobOwner::OnJobEnd(const std::string& job, OwnedJob::End end) {
  LogEvent(Severity::kInfo, "job_released").With("job", job).With("reason", NameOf(end));
  this->parts.metrics.GetCounter("batch_job_ends_total", {{"reason", NameOf(end)}}).Add();
  this->jobs.erase(job);
  const bool over = end == OwnedJob::End::kFinished || end == OwnedJob::End::kCancelled;
  if (over) {
    this->ended[job] = this->parts.timers.Now();
  }
  this->next_read.erase(job);
  this->parts.metrics.GetGauge("batch_owned_jobs")
      .Set(static_cast<std::int64_t>(this->jobs.size()));
}

void JobOwner::Drain() {
  this->draining = true;
  this->leases.Drain();
}

void JobOwner::ReleaseShards() {
  for (int shard = 0; shard < this->leases.ShardCount(); ++shard) {
    const bool must_release = this->leases.MustRelease(shard);
    bool busy = false;
    for (const auto& [id, job] : this->jobs) {
      if (ShardOf(id, this->parts.settings.shards) == shard && must_release) {
        job->HandOver();
        busy = true;
      }
    }
    if (must_release && !busy) {
      this->leases.AllowRelease(shard);
    }
  }
}

void JobOwner::SendOffers() {
  const framework::MonotonicTime now = this->parts.timers.Now();
  const bool due = now >= this->last_offers + this->parts.settings.scan_period;
  if (!due && !this->offers_due) {
    return;
  }
  this->last_offers = now;
  this->offers_due = false;
  std::map<std::string, OfferMessage> messages;
  for (const auto& [id, job] : this->jobs) {
    std::set<std::string> owners;
    for (const auto& target : this->parts.directory.EndpointsOf(job->Ledger().Record().service)) {
      owners.insert(this->view.BatchOwnerOf(target.name));
    }
    const JobOffer offer = job->Offer();
    for (const std::string& owner : owners) {
      messages[owner].owner = this->parts.instance;
      messages[owner].offers.push_back(offer);
    }
  }
  for (const auto& [owner, message] : messages) {
    const std::string url = PeerUrl(this->view, owner);
    if (url.empty()) {
      continue;
    }
    this->offer_calls[owner] =
        this->parts.rpc.Call(url, kOfferProcedure, ToJson(message),
                             this->parts.settings.scan_period, [](const auto& /*reply*/) {});
  }
}

LedgerLimits JobOwner::Limits() const {
  LedgerLimits limits;
  limits.max_attempts = this->parts.settings.max_attempts;
  limits.window_items = static_cast<std::size_t>(this->parts.settings.window_items);
  limits.commit_items = this->parts.settings.commit_items;
  limits.commit_period = this->parts.settings.commit_period;
  return limits;
}

}  // namespace lentilhead::batch::internal
