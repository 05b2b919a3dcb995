#include "gateway/admission.h"

#include <algorithm>
#include <limits>

#include "net/backoff.h"

namespace lentilhead::gateway {

using net::asio::awaitable;
using std::chrono::milliseconds;

namespace {

// What the limits of endpoints allow grows with time, not by an event.
constexpr milliseconds kPollPeriod{20};
// Full periods last for hundreds of milliseconds.
constexpr milliseconds kObservePeriod{20};
// Reviews at the same moment as the one before would keep the event loop busy.
constexpr milliseconds kMinReviewDelay{1};

// Each endpoint accepts an online request beyond its slots.
constexpr int kQueuePlaces = 1;

/// Counts an online request in the shares of the customers and in the hold times of its service.
/// A lease calls it once when the request takes its slot, and once when it leaves it.
class SlotRecorder {
 public:
  SlotRecorder(admission::FairShares& shares, admission::ServicePace& pace,
               admission::GrowthEstimate& growth, std::uint32_t service, std::uint32_t customer)
      : shares(&shares), pace(&pace), growth(&growth), service(service), customer(customer) {}

  void operator()() {
    if (!this->started) {
      this->started = net::Now();
      this->shares->RecordStart(this->service, this->customer);
    } else {
      this->pace->RecordHold(net::Now() - *this->started);
      this->shares->RecordEnd(this->service, this->customer);
    }
    this->growth->Record(this->shares->OwnUse(this->service), net::Now());
  }

 private:
  admission::FairShares* shares;
  admission::ServicePace* pace;
  admission::GrowthEstimate* growth;
  std::uint32_t service;
  std::uint32_t customer;
  std::optional<net::SteadyTime> started;
};

}  // namespace

Admission::Admission(net::asio::any_io_executor executor, EndpointRegistry& registry)
    : executor(std::move(executor)),
      registry(registry),
      shares(
          static_cast<std::uint32_t>(net::RandomBelow(std::numeric_limits<std::uint32_t>::max()))),
      poll_timer(this->executor) {}

Admission::Service& Admission::ServiceOf(const std::string& name) {
  std::unique_ptr<Service>& service = this->services[name];
  if (!service) {
    service = std::make_unique<Service>(name, this->shares);
  }
  return *service;
}

EndpointLease Admission::MakeLease(std::shared_ptr<EndpointState> endpoint,
                                   const ChoiceRequest& request) {
  this->registry.Limits().RecordSent(endpoint->incarnation, net::Now());
  if (request.work == WorkClass::kBatch) {
    const auto note = [this](const EndpointState& changed) {
      if (this->on_load_change) {
        this->on_load_change(changed);
      }
    };
    return {std::move(endpoint), request.work, note, request.cost};
  }
  Service& service = this->ServiceOf(request.service);
  SlotRecorder recorder(this->shares, service.pace, service.growth, service.key, request.customer);
  return {std::move(endpoint), request.work,
          [this, recorder](const EndpointState& changed) mutable {
            recorder();
            if (this->on_load_change) {
              this->on_load_change(changed);
            }
          },
          request.cost};
}

AdmissionOutcome Admission::TryAcquire(const ChoiceRequest& request) {
  Choice choice = this->registry.Choose(request, net::Now());
  if (!choice.endpoint) {
    AdmissionOutcome outcome{EndpointLease(), choice.reason, std::nullopt};
    outcome.free_memory = choice.free_memory;
    return outcome;
  }
  return {this->MakeLease(std::move(choice.endpoint), request), NoChoice::kChosen, std::nullopt};
}

admission::Capacity Admission::CapacityOf(const Service& service) const {
  admission::Capacity capacity;
  for (const auto& [id, state] : this->registry.All()) {
    const bool is_shared_out = state->in_group && state->listed && !state->is_leaving;
    if (state->entry.service == service.name && is_shared_out && !state->entry.is_draining) {
      const int slots = std::max(0, state->entry.slots);
      capacity.slots += static_cast<double>(slots) / state->shared_by;
      capacity.places += static_cast<double>(slots + kQueuePlaces) / state->shared_by;
      capacity.in_use += state->own_online + state->peer_online;
    }
  }
  const net::SteadyTime now = net::Now();
  const milliseconds hold_time = service.pace.HoldTime();
  const double hold = std::chrono::duration<double>(hold_time).count();
  capacity.established = service.releases.Established(hold_time, now);
  capacity.releases_per_second = capacity.established / hold;
  capacity.unseen = service.growth.Unseen(this->shares.NodeCount(), now, capacity.IsFilling());
  capacity.in_use += capacity.unseen;
  // In a full group slots become free at the nodes in proportion to what they use. A node that has
  // just started uses little, but soon takes its part.
  const double part = capacity.slots / static_cast<double>(this->shares.NodeCount());
  const double used = std::max<double>(this->shares.OwnUse(service.key), part);
  capacity.starts_per_second = used / hold;
  capacity.is_learned = service.pace.IsLearned();
  return capacity;
}

admission::Ticket Admission::TicketOf(const Service& service, const ChoiceRequest& request,
                                      const WaitTerms& terms) const {
  admission::Ticket ticket;
  ticket.customer = terms.customer;
  ticket.priority = terms.priority;
  ticket.arrival = net::Now();
  ticket.refuse_by = terms.until;
  ticket.useful_start = terms.until;
  ticket.latest_start = terms.until;
  ticket.may_be_refused = !request.has_begun;
  ticket.has_objectives = terms.objectives && ticket.may_be_refused;
  if (ticket.has_objectives) {
    const WaitObjectives& objectives = *terms.objectives;
    const milliseconds first_event = service.pace.FirstEventTime(objectives.target_latency);
    ticket.arrival = objectives.arrival;
    ticket.useful_start =
        std::max(terms.until, objectives.arrival + objectives.target_latency - first_event);
    ticket.latest_start = std::max(terms.until, objectives.deadline - service.pace.HoldTime());
  }
  return ticket;
}

bool Admission::HasQueue(const Service& service, const admission::Capacity& capacity) const {
  // A request that excludes endpoints, or needs much memory, may wait while others can start.
  std::set<Id> narrow;
  for (const auto& [id, waiter] : service.waiters) {
    if (waiter->is_settled || waiter->lacks_memory || !waiter->request.excluded.empty()) {
      narrow.insert(id);
    }
  }
  return service.queue.Size() > narrow.size() &&
         service.queue.Next(net::Now(), capacity, narrow).has_value();
}

std::size_t Admission::Waiting(const std::string& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second->queue.Size();
}

bool Admission::IsAnyWaiting() const {
  return std::any_of(this->services.begin(), this->services.end(),
                     [](const auto& item) { return item.second->queue.Size() > 0; });
}

void Admission::RecordFirstEvent(const std::string& service, std::chrono::nanoseconds span) {
  this->ServiceOf(service).pace.RecordFirstEvent(span);
}

admission::CustomerShare Admission::ShareOf(const std::string& service, std::uint32_t customer) {
  const Service& known = this->ServiceOf(service);
  return this->shares.ShareOf(known.key, customer, this->CapacityOf(known), net::Now());
}

milliseconds Admission::TimeToCapacity(const std::string& service, std::uint32_t customer,
                                       const AdmissionOutcome& outcome, milliseconds longest) {
  Service& known = this->ServiceOf(service);
  const admission::Capacity capacity = this->CapacityOf(known);
  const net::SteadyTime now = net::Now();
  if (outcome.cause != admission::RefusalCause::kOverShare) {
    return known.schedule.NextDelay(0, capacity.starts_per_second, longest, now);
  }
  return known.schedule.NextDelay(customer, known.queue.StartRateOf(customer, capacity, now),
                                  longest, now);
}

void Admission::Observe(Service& service, const admission::Capacity& capacity,
                        net::SteadyTime now) {
  if (now - service.observed_at >= kObservePeriod) {
    service.observed_at = now;
    service.releases.Record(capacity.in_use - capacity.unseen, now);
    service.schedule.Observe(capacity.slots == 0 ? 1.0 : capacity.in_use / capacity.slots, now);
  }
}

awaitable<AdmissionOutcome> Admission::Acquire(ChoiceRequest request, WaitTerms terms,
                                               CancelScope& cancel) {
  if (this->registry.IsTooLarge(request)) {
    co_return AdmissionOutcome{EndpointLease(), NoChoice::kTooLarge};
  }
  Service& service = this->ServiceOf(request.service);
  request.customer = terms.customer;
  this->registry.Limits().Demand().RecordRequest(service.key, net::Now());
  const admission::Ticket ticket = this->TicketOf(service, request, terms);
  const admission::Capacity capacity = this->CapacityOf(service);
  Observe(service, capacity, net::Now());
  service.queue.RecordAsked(ticket, net::Now());
  bool lacks_memory = false;
  const bool has_place = !ticket.has_objectives || capacity.HasPlaceFor(ticket, net::Now());
  if (has_place && !this->HasQueue(service, capacity) &&
      service.queue.MayStart(ticket, capacity, net::Now())) {
    AdmissionOutcome outcome = this->TryAcquire(request);
    if (outcome.reason != NoChoice::kAllFull) {
      if (outcome.lease) {
        service.queue.RecordServed(ticket, net::Now());
      }
      co_return outcome;
    }
    lacks_memory = outcome.free_memory.has_value();
  }
  const std::optional<milliseconds> permit_wait =
      request.has_begun ? std::nullopt
                        : this->registry.PermitWait(request, service.queue.Size(), net::Now());
  if (permit_wait && net::Now() + *permit_wait > terms.until) {
    co_return AdmissionOutcome{EndpointLease(), NoChoice::kAllFull, permit_wait};
  }
  AdmissionOutcome outcome =
      co_await this->Wait(service, std::move(request), ticket, lacks_memory, cancel);
  if (!outcome.lease && outcome.reason == NoChoice::kAllFull) {
    outcome.permit_wait = permit_wait;
  }
  co_return outcome;
}

awaitable<AdmissionOutcome> Admission::Wait(Service& service, ChoiceRequest request,
                                            admission::Ticket ticket, bool lacks_memory,
                                            CancelScope& cancel) {
  net::asio::steady_timer timer(this->executor);
  Waiter waiter{std::move(request), &timer, {EndpointLease(), NoChoice::kAllFull, std::nullopt}};
  waiter.lacks_memory = lacks_memory;
  ticket.id = service.queue.Add(ticket);
  service.waiters[ticket.id] = &waiter;
  this->PollWhileLimited();
  cancel.OnCancel([&timer] { timer.cancel(); });
  if (ticket.has_objectives) {
    this->DispatchService(service);  // one before it may have become eligible without an event
  }
  while (!cancel.IsCancelled() && !waiter.is_settled) {
    const admission::WaitVerdict verdict =
        service.queue.Review(ticket, net::Now(), this->CapacityOf(service));
    if (const auto* refusal = std::get_if<admission::RefuseNow>(&verdict)) {
      waiter.outcome.cause = refusal->cause;
      break;
    }
    timer.expires_at(std::max(std::get<admission::KeepWaiting>(verdict).review_at,
                              net::Now() + kMinReviewDelay));
    const auto [ended_early] = co_await timer.async_wait(net::kAwaitWithError);
    if (!ended_early && !waiter.is_settled) {
      this->DispatchService(service);  // shares grow with time, not only by an event
    }
  }
  cancel.OnCancel(nullptr);
  service.waiters.erase(ticket.id);
  service.queue.Remove(ticket.id);
  waiter.outcome.has_waited = true;
  co_return std::move(waiter.outcome);
}

void Admission::PollWhileLimited() {
  if (this->is_polling || !this->IsAnyWaiting() || this->registry.Limits().LimitedCount() == 0) {
    return;
  }
  this->is_polling = true;
  this->poll_timer.expires_after(kPollPeriod);
  this->poll_timer.async_wait([this](const net::ErrorCode& error) {
    if (error) {
      return;
    }
    this->is_polling = false;
    this->Dispatch();
    this->PollWhileLimited();
  });
}

void Admission::Dispatch() {
  for (auto& [name, service] : this->services) {
    this->DispatchService(*service);
  }
}

void Admission::DispatchService(Service& service) {
  const net::SteadyTime now = net::Now();
  if (service.queue.Size() == 0 && now - service.observed_at < kObservePeriod) {
    return;
  }
  admission::Capacity capacity = this->CapacityOf(service);
  Observe(service, capacity, now);
  std::set<Id> skipped;
  double free_memory = std::numeric_limits<double>::infinity();
  while (std::optional<admission::Ticket> next = service.queue.Next(now, capacity, skipped)) {
    Waiter& waiter = *service.waiters.at(next->id);
    if (next->has_objectives && !capacity.HasPlaceFor(*next, now)) {
      skipped.insert(next->id);  // one that has begun may follow
      continue;
    }
    if (waiter.request.cost.memory_tokens > free_memory) {
      waiter.lacks_memory = true;
      skipped.insert(next->id);
      continue;
    }
    AdmissionOutcome outcome = this->TryAcquire(waiter.request);
    waiter.lacks_memory = outcome.free_memory.has_value();
    if (outcome.reason == NoChoice::kAllFull) {
      const bool may_use_all = waiter.request.excluded.empty();
      if (may_use_all && !outcome.free_memory) {
        return;
      }
      if (may_use_all) {
        free_memory = *outcome.free_memory;
      }
      skipped.insert(next->id);
      continue;
    }
    if (outcome.lease) {
      service.queue.RecordServed(*next, now);
      capacity.in_use += 1;
    }
    waiter.outcome = std::move(outcome);
    waiter.is_settled = true;
    waiter.timer->cancel();
    service.queue.Remove(next->id);
  }
}

}  // namespace lentilhead::gateway
