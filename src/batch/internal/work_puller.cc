#include "batch/internal/work_puller.h"

#include <algorithm>
#include <utility>

#include "batch/internal/job_keys.h"
#include "framework/log_event.h"

namespace lentilhead::batch::internal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kExchangeDelay{1};
constexpr milliseconds kHeartbeatPeriod{500};
constexpr milliseconds kRetryDelay{200};
constexpr milliseconds kExchangeTimeout{2'000};
constexpr milliseconds kOfferLifetime{2'500};

/// Results and items of a job without an owner are dropped after this time.
constexpr std::chrono::seconds kOrphanTimeout{60};
constexpr std::size_t kMaxResultsPerJob = 512;

}  // namespace

WorkPuller::WorkPuller(BatchParts& parts) : parts(parts), selector(kOfferLifetime) {}

void WorkPuller::OnOffers(const OfferMessage& message) {
  const framework::MonotonicTime now = this->parts.timers.Now();
  for (const JobOffer& offer : message.offers) {
    this->selector.OnOffer(message.owner, offer, now);
  }
  this->ScheduleExchanges();
}

void WorkPuller::OnView(const fleet::FleetView& new_view, framework::MonotonicTime confirmed) {
  this->view = new_view;
  std::set<std::string> listed;
  for (const endpoint::ServiceSettings& service : this->parts.services.services) {
    for (const endpoint::EndpointInfo& target : this->parts.directory.EndpointsOf(service.name)) {
      const bool is_owner = this->view.BatchOwnerOf(target.name) == this->parts.instance;
      const auto known = this->workers.find(target.name);
      if (known == this->workers.end() && !is_owner) {
        continue;
      }
      listed.insert(target.name);
      EndpointWorker& worker =
          known == this->workers.end() ? this->AddWorker(target, service) : *known->second;
      worker.OnView(confirmed, is_owner);
    }
  }
  for (auto worker = this->workers.begin(); worker != this->workers.end();) {
    if (!listed.contains(worker->first)) {
      worker->second->OnView(confirmed, false);
    }
    const bool removable = !worker->second->IsOwner() && worker->second->InFlight() == 0;
    worker = removable ? this->workers.erase(worker) : std::next(worker);
  }
}

EndpointWorker& WorkPuller::AddWorker(const endpoint::EndpointInfo& target,
                                      const endpoint::ServiceSettings& service) {
  auto& worker = this->workers[target.name];
  worker = std::make_unique<EndpointWorker>(
      WorkerParts{this->parts.settings, this->parts.http, this->parts.timers, this->parts.metrics,
                  this->parts.directory, this->parts.translate_model},
      target, service,
      [this](const std::string& job, ItemResult result) {
        this->outbox.Add(job, std::move(result), this->parts.timers.Now());
        this->ScheduleExchanges();
      },
      [this] { this->ScheduleExchanges(); });
  return *worker;
}

void WorkPuller::OnTick() {
  for (const auto& [name, worker] : this->workers) {
    worker->OnTick();
  }
  this->RemoveOrphans();
  this->ScheduleExchanges();
}

void WorkPuller::ScheduleExchanges() {
  if (this->exchanges_scheduled) {
    return;
  }
  this->exchanges_scheduled = true;
  this->exchange_timer = this->parts.timers.After(kExchangeDelay, [this] {
    this->exchanges_scheduled = false;
    this->RunExchanges();
  });
}

std::string WorkPuller::OwnerOf(const std::string& job, framework::MonotonicTime now) const {
  std::string owner = this->selector.OwnerOf(job, now);
  if (!owner.empty()) {
    return owner;
  }
  // Offers are sent only to owners of endpoints. A draining process owns none and therefore
  // receives no offer for the items that it still holds.
  return this->view.BatchOwnerOf("batch-" + LeaseKey(ShardOf(job, this->parts.settings.shards)));
}

void WorkPuller::RunExchanges() {
  if (!this->draining) {
    for (const std::string& service : this->Services()) {
      this->RequestSoloItem(service);
      this->RequestItems(service);
    }
  }
  const framework::MonotonicTime now = this->parts.timers.Now();
  for (const std::string& job : this->outbox.Jobs()) {
    const std::string owner = this->OwnerOf(job, now);
    if (!owner.empty()) {
      this->channels[owner];
    }
  }
  const std::set<std::string> owners_of_held = this->OwnersOfHeld();
  for (auto& [owner, channel] : this->channels) {
    if (this->IsDue(owner, channel, owners_of_held)) {
      this->Send(owner, channel);
    }
  }
}

std::set<std::string> WorkPuller::Services() const {
  std::set<std::string> services;
  for (const auto& [name, worker] : this->workers) {
    services.insert(worker->Service());
  }
  return services;
}

void WorkPuller::RequestItems(const std::string& service) {
  int credit = 0;
  for (const auto& [name, worker] : this->workers) {
    credit += worker->Service() == service ? worker->Credit() : 0;
  }
  for (const auto& [owner, channel] : this->channels) {
    for (const auto* used : {&channel.reserved_credit, &channel.credit_in_flight}) {
      const auto found = used->find(service);
      credit -= found == used->end() ? 0 : found->second;
    }
  }
  if (credit <= 0) {
    return;
  }
  const auto requests =
      this->selector.Select(service, static_cast<std::size_t>(credit), this->parts.timers.Now());
  for (const WorkRequest& request : requests) {
    OwnerChannel& channel = this->channels[request.owner];
    channel.wanted[request.job].count += request.count;
    channel.reserved_credit[service] += static_cast<int>(request.count);
  }
}

void WorkPuller::RequestSoloItem(const std::string& service) {
  const framework::MonotonicTime now = this->parts.timers.Now();
  EndpointWorker* chosen = nullptr;
  for (const auto& [name, worker] : this->workers) {
    if (worker->Service() != service || !worker->IsOwner()) {
      continue;
    }
    if (chosen == nullptr || worker->IsReserved()) {
      chosen = worker.get();
    }
  }
  if (chosen == nullptr) {
    return;
  }
  const bool wanted = this->selector.HasSoloOffer(service, now);
  if (!wanted || !chosen->IsReadyForSolo()) {
    chosen->SetReserved(wanted || (chosen->IsReserved() && this->solo_requested.contains(service)));
    return;
  }
  if (this->solo_requested.contains(service)) {
    return;
  }
  const std::optional<WorkRequest> request = this->selector.SelectSolo(service, now);
  if (request) {
    this->channels[request->owner].wanted[request->job].solo += 1;
    this->solo_requested[service] = request->owner;
  }
}

bool WorkPuller::IsDue(const std::string& owner, const OwnerChannel& channel,
                       const std::set<std::string>& owners_of_held) const {
  const framework::MonotonicTime now = this->parts.timers.Now();
  if (channel.call || (channel.failed_last && now < channel.last_sent + kRetryDelay)) {
    return false;
  }
  if (!channel.wanted.empty()) {
    return true;
  }
  for (const std::string& job : this->outbox.Jobs()) {
    if (this->OwnerOf(job, now) == owner) {
      return true;
    }
  }
  return owners_of_held.contains(owner) && now >= channel.last_sent + kHeartbeatPeriod;
}

std::set<std::string> WorkPuller::OwnersOfHeld() const {
  std::map<std::string, std::vector<HeldItem>> held;
  for (const auto& [name, worker] : this->workers) {
    worker->AddHeld(held);
  }
  std::set<std::string> owners;
  for (const auto& [job, items] : held) {
    owners.insert(this->selector.OwnerOf(job, this->parts.timers.Now()));
  }
  return owners;
}

ExchangeRequest WorkPuller::BuildRequest(const std::string& owner, OwnerChannel& channel) {
  const framework::MonotonicTime now = this->parts.timers.Now();
  ExchangeRequest request;
  request.puller = this->parts.run;
  channel.sequence += 1;
  request.sequence = channel.sequence;
  request.wanted = std::exchange(channel.wanted, {});
  channel.credit_in_flight = std::exchange(channel.reserved_credit, {});
  for (const std::string& job : this->outbox.Jobs()) {
    if (this->OwnerOf(job, now) == owner) {
      request.results[job] = this->outbox.First(job, kMaxResultsPerJob);
    }
  }
  for (const auto& [name, worker] : this->workers) {
    worker->AddHeld(request.held);
  }
  // Results in the outbox, including those that did not fit into the request, are still held by
  // this process.
  for (const std::string& job : this->outbox.Jobs()) {
    for (const ItemResult& result : this->outbox.First(job, SIZE_MAX)) {
      request.held[job].push_back({result.item, result.attempt});
    }
  }
  std::erase_if(request.held,
                [&](const auto& entry) { return this->OwnerOf(entry.first, now) != owner; });
  return request;
}

void WorkPuller::Send(const std::string& owner, OwnerChannel& channel) {
  const std::string url = PeerUrl(this->view, owner);
  ExchangeRequest request = this->BuildRequest(owner, channel);
  channel.last_sent = this->parts.timers.Now();
  channel.failed_last = url.empty();
  if (url.empty()) {
    this->ReleaseRequests(owner, channel);
    return;
  }
  std::map<std::string, std::size_t> sent;
  for (const auto& [job, results] : request.results) {
    sent[job] = results.size();
  }
  channel.call = this->parts.rpc.Call(
      url, kExchangeProcedure, ToJson(request), kExchangeTimeout,
      [this, owner, sent = std::move(sent)](auto reply) {
        OwnerChannel& answered = this->channels[owner];
        answered.call.reset();
        answered.failed_last = !reply.HasValue();
        this->ReleaseRequests(owner, answered);
        if (!reply) {
          this->parts.metrics.GetCounter("batch_retries_total", {{"reason", "exchange_failed"}})
              .Add();
          return;
        }
        this->OnReply(owner, sent, ReadExchangeReply(reply.Value()));
      });
}

void WorkPuller::ReleaseRequests(const std::string& owner, OwnerChannel& channel) {
  channel.credit_in_flight.clear();
  std::erase_if(this->solo_requested, [&](const auto& entry) { return entry.second == owner; });
}

void WorkPuller::OnReply(const std::string& owner, const std::map<std::string, std::size_t>& sent,
                         const ExchangeReply& reply) {
  const framework::MonotonicTime now = this->parts.timers.Now();
  const std::set<std::string> unknown(reply.unknown_jobs.begin(), reply.unknown_jobs.end());
  for (const std::string& job : unknown) {
    this->selector.OnWithdrawn(owner, job);
  }
  // An owner that has not taken the job over yet is asked again after a delay.
  this->channels[owner].failed_last = !unknown.empty();
  for (const auto& [job, count] : sent) {
    if (!unknown.contains(job)) {
      this->outbox.RemoveFirst(job, count, now);
    }
  }
  for (const auto& [job, items] : reply.dropped) {
    for (const HeldItem& item : items) {
      this->Drop(job, item);
    }
  }
  for (const JobOffer& offer : reply.offers) {
    this->selector.OnOffer(owner, offer, now);
  }
  for (const GrantedItem& item : reply.granted) {
    this->StartItem(item);
  }
  this->ScheduleExchanges();
}

void WorkPuller::StartItem(const GrantedItem& item) {
  EndpointWorker* chosen = nullptr;
  for (const auto& [name, worker] : this->workers) {
    if (worker->Service() != item.service || this->draining) {
      continue;
    }
    if (item.grant.solo ? worker->IsReadyForSolo()
                        : worker->Credit() > (chosen == nullptr ? 0 : chosen->Credit())) {
      chosen = worker.get();
    }
  }
  if (chosen != nullptr && chosen->Start(item)) {
    return;
  }
  this->parts.metrics.GetCounter("batch_retries_total", {{"reason", "room_gone"}}).Add();
  this->outbox.Add(
      item.job,
      {item.grant.item, item.grant.attempt, AttemptOutcome::kNotRun, "", item.grant.partial},
      this->parts.timers.Now());
}

void WorkPuller::Drop(const std::string& job, const HeldItem& held) {
  for (const auto& [name, worker] : this->workers) {
    if (worker->Drop(job, held)) {
      this->parts.metrics.GetCounter("batch_preemptions_total", {{"reason", "dropped_by_owner"}})
          .Add();
      return;
    }
  }
}

void WorkPuller::RemoveOrphans() {
  const framework::MonotonicTime now = this->parts.timers.Now();
  std::map<std::string, std::vector<HeldItem>> held;
  for (const auto& [name, worker] : this->workers) {
    worker->AddHeld(held);
  }
  for (const auto& [job, items] : held) {
    if (!this->selector.OwnerOf(job, now).empty()) {
      this->orphaned.erase(job);
      continue;
    }
    const auto since = this->orphaned.try_emplace(job, now).first->second;
    if (now < since + kOrphanTimeout) {
      continue;
    }
    for (const HeldItem& item : items) {
      this->Drop(job, item);
    }
  }
  std::erase_if(this->orphaned, [&](const auto& entry) { return !held.contains(entry.first); });
  const std::size_t removed = this->outbox.RemoveOlderThan(now - kOrphanTimeout);
  if (removed > 0) {
    this->parts.metrics.GetCounter("batch_results_dropped_total", {{"reason", "no_owner"}})
        .Add(removed);
  }
}

void WorkPuller::PreemptAll() {
  for (const auto& [name, worker] : this->workers) {
    worker->PreemptAll();
  }
}

bool WorkPuller::IsIdle() const {
  // An exchange in flight may still grant items, which must be returned to their job's owner.
  const bool exchanging =
      std::any_of(this->channels.begin(), this->channels.end(),
                  [](const auto& entry) { return entry.second.call.has_value(); });
  return !exchanging && this->outbox.IsEmpty() &&
         std::all_of(this->workers.begin(), this->workers.end(),
                     [](const auto& entry) { return entry.second->InFlight() == 0; });
}

}  // namespace lentilhead::batch::internal
