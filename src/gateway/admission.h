#pragma once

#include <list>

#include "gateway/cancel_scope.h"
#include "gateway/endpoint_lease.h"
#include "gateway/endpoint_registry.h"
#include "gateway/types/admission_outcome.h"

namespace lentilhead::gateway {

/// Holds online requests until an endpoint has room, the most urgent and then the oldest first.
class Admission {
 public:
  Admission(net::asio::any_io_executor executor, EndpointRegistry& registry);

  /// Waits for room at an endpoint.
  /// @param priority rank of the request; 0 is the most urgent.
  /// @param until time at which the wait ends without room.
  /// @param cancel ends the wait early.
  net::asio::awaitable<AdmissionOutcome> Acquire(ChoiceRequest request, int priority,
                                                 net::SteadyTime until, CancelScope& cancel);

  /// Takes room at an endpoint at once, past the queue, if there is any.
  [[nodiscard]] AdmissionOutcome TryAcquire(const ChoiceRequest& request);

  /// Gives room that has come free to the requests that wait.
  void Dispatch();

  /// Sets what is called after this node's load at an endpoint has changed.
  void OnLoadChange(std::function<void(const EndpointState&)> action) {
    this->on_load_change = std::move(action);
  }

  /// Number of requests that wait for a service.
  [[nodiscard]] std::size_t Waiting(const std::string& service) const;

 private:
  struct Ticket {
    ChoiceRequest request;
    int priority;
    net::asio::steady_timer* timer;
    AdmissionOutcome outcome;
  };

  EndpointLease MakeLease(std::shared_ptr<EndpointState> endpoint, WorkClass work);
  std::list<Ticket*>::iterator Enqueue(Ticket& ticket);

  net::asio::any_io_executor executor;
  EndpointRegistry& registry;
  std::list<Ticket*> waiting;
  std::function<void(const EndpointState&)> on_load_change;
};

}  // namespace lentilhead::gateway
