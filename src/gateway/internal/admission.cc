#include "gateway/admission.h"

#include <algorithm>

namespace lentilhead::gateway {

using net::asio::awaitable;

Admission::Admission(net::asio::any_io_executor executor, EndpointRegistry& registry)
    : executor(std::move(executor)), registry(registry) {}

EndpointLease Admission::MakeLease(std::shared_ptr<EndpointState> endpoint, WorkClass work) {
  return {std::move(endpoint), work, [this](const EndpointState& changed) {
            if (this->on_load_change) {
              this->on_load_change(changed);
            }
          }};
}

AdmissionOutcome Admission::TryAcquire(const ChoiceRequest& request) {
  Choice choice = this->registry.Choose(request, net::Now());
  if (!choice.endpoint) {
    return {EndpointLease(), choice.reason};
  }
  return {this->MakeLease(std::move(choice.endpoint), request.work), NoChoice::kChosen};
}

std::list<Admission::Ticket*>::iterator Admission::Enqueue(Ticket& ticket) {
  const auto later =
      std::find_if(this->waiting.begin(), this->waiting.end(),
                   [&](const Ticket* other) { return other->priority > ticket.priority; });
  return this->waiting.insert(later, &ticket);
}

bool Admission::HasQueue(const std::string& service) const {
  // A request that excludes endpoints may wait while one of those has a free slot.
  return std::any_of(this->waiting.begin(), this->waiting.end(), [&](const Ticket* ticket) {
    return ticket->request.service == service && ticket->request.excluded.empty();
  });
}

std::size_t Admission::Waiting(const std::string& service) const {
  return static_cast<std::size_t>(
      std::count_if(this->waiting.begin(), this->waiting.end(),
                    [&](const Ticket* ticket) { return ticket->request.service == service; }));
}

awaitable<AdmissionOutcome> Admission::Acquire(ChoiceRequest request, int priority,
                                               net::SteadyTime until, CancelScope& cancel) {
  if (!this->HasQueue(request.service)) {
    AdmissionOutcome outcome = this->TryAcquire(request);
    if (outcome.reason != NoChoice::kAllFull) {
      co_return outcome;
    }
  }
  net::asio::steady_timer timer(this->executor, until);
  Ticket ticket{std::move(request), priority, &timer, {}};
  const auto position = this->Enqueue(ticket);
  cancel.OnCancel([&timer] { timer.cancel(); });
  if (!cancel.IsCancelled()) {
    co_await timer.async_wait(net::kAwaitWithError);
  }
  cancel.OnCancel(nullptr);
  this->waiting.erase(position);
  co_return std::move(ticket.outcome);
}

void Admission::Dispatch() {
  std::vector<std::string> full;  // services without a free slot for their first queued request
  for (Ticket* ticket : this->waiting) {
    const std::string& service = ticket->request.service;
    if (ticket->outcome.reason != NoChoice::kAllFull ||
        std::find(full.begin(), full.end(), service) != full.end()) {
      continue;
    }
    ticket->outcome = this->TryAcquire(ticket->request);
    if (ticket->outcome.reason != NoChoice::kAllFull) {
      ticket->timer->cancel();
    } else if (ticket->request.excluded.empty()) {
      full.push_back(service);
    }
  }
}

}  // namespace lentilhead::gateway
