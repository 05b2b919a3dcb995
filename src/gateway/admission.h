#pragma once

#include <map>
#include <memory>
#include <set>

#include "admission/admission_queue.h"
#include "admission/fair_shares.h"
#include "admission/growth_estimate.h"
#include "admission/release_estimate.h"
#include "admission/retry_schedule.h"
#include "admission/service_pace.h"
#include "gateway/cancel_scope.h"
#include "gateway/endpoint_lease.h"
#include "gateway/endpoint_registry.h"
#include "gateway/types/admission_outcome.h"
#include "gateway/types/wait_terms.h"

namespace lentilhead::gateway {

/// Queues online requests until an endpoint has a free slot. Which of them is next, and which is
/// refused, is decided by admission::AdmissionQueue.
class Admission {
 public:
  Admission(net::asio::any_io_executor executor, EndpointRegistry& registry);

  /// Waits for a free slot at an endpoint. A request that has not begun does not wait if the limits
  /// that the endpoints name are expected to allow it only after its wait ends, nor one that needs
  /// more memory than an endpoint has.
  /// @param terms how it waits. @param cancel ends the wait early.
  net::asio::awaitable<AdmissionOutcome> Acquire(ChoiceRequest request, WaitTerms terms,
                                                 CancelScope& cancel);

  /// Takes a free slot if there is one, without queueing.
  [[nodiscard]] AdmissionOutcome TryAcquire(const ChoiceRequest& request);

  /// Assigns free slots to queued requests.
  void Dispatch();

  /// Expected time until this node has capacity for a request of a refused caller; each refused
  /// caller gets a later one.
  /// @param outcome of its request. @param longest longest time of use to the caller.
  [[nodiscard]] std::chrono::milliseconds TimeToCapacity(const std::string& service,
                                                         std::uint32_t customer,
                                                         const AdmissionOutcome& outcome,
                                                         std::chrono::milliseconds longest);

  /// Records the time from the start of an attempt to its first event or answer.
  void RecordFirstEvent(const std::string& service, std::chrono::nanoseconds span);

  /// Sets the function that is called after this node's load at an endpoint has changed.
  void OnLoadChange(std::function<void(const EndpointState&)> action) {
    this->on_load_change = std::move(action);
  }

  /// Number of queued requests for a service.
  [[nodiscard]] std::size_t Waiting(const std::string& service) const;

  /// What a customer uses of a service and may use.
  [[nodiscard]] admission::CustomerShare ShareOf(const std::string& service,
                                                 std::uint32_t customer);

  /// Shares of the customers in the slots of the group.
  [[nodiscard]] admission::FairShares& Shares() { return this->shares; }

 private:
  using Id = admission::AdmissionQueue::Id;

  /// A queued request.
  struct Waiter {
    ChoiceRequest request;
    net::asio::steady_timer* timer;
    AdmissionOutcome outcome;
    bool is_settled = false;  ///< the outcome is final
    /// At the last try no endpoint had the memory for it, so that it holds up no smaller request.
    bool lacks_memory = false;
  };

  /// What is known of a service's online requests.
  struct Service {
    Service(const std::string& name, const admission::FairShares& shares)
        : name(name), key(HashKey(name)), queue(this->key, shares) {}

    std::string name;
    std::uint32_t key;
    admission::AdmissionQueue queue;
    admission::ServicePace pace;
    admission::RetrySchedule schedule;
    admission::GrowthEstimate growth;
    admission::ReleaseEstimate releases;
    std::map<Id, Waiter*> waiters;
    net::SteadyTime observed_at;
  };

  Service& ServiceOf(const std::string& name);
  [[nodiscard]] admission::Capacity CapacityOf(const Service& service) const;
  [[nodiscard]] admission::Ticket TicketOf(const Service& service, const ChoiceRequest& request,
                                           const WaitTerms& terms) const;
  /// Whether a request must queue behind another one of its service.
  [[nodiscard]] bool HasQueue(const Service& service, const admission::Capacity& capacity) const;
  void DispatchService(Service& service);
  /// Queues a request until it has a slot or is refused.
  /// @param lacks_memory no endpoint has the memory for it now.
  net::asio::awaitable<AdmissionOutcome> Wait(Service& service, ChoiceRequest request,
                                              admission::Ticket ticket, bool lacks_memory,
                                              CancelScope& cancel);
  /// Notes how full a service is. @param capacity of the service now.
  static void Observe(Service& service, const admission::Capacity& capacity, net::SteadyTime now);
  /// Assigns slots from time to time while requests wait and limits apply.
  void PollWhileLimited();
  [[nodiscard]] bool IsAnyWaiting() const;
  EndpointLease MakeLease(std::shared_ptr<EndpointState> endpoint, const ChoiceRequest& request);

  net::asio::any_io_executor executor;
  EndpointRegistry& registry;
  admission::FairShares shares;
  std::map<std::string, std::unique_ptr<Service>> services;
  net::asio::steady_timer poll_timer;
  bool is_polling = false;
  std::function<void(const EndpointState&)> on_load_change;
};

}  // namespace lentilhead::gateway
