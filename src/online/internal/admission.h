#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "framework/token_bucket.h"
#include "online/internal/caller_queues.h"
#include "online/internal/service_rate.h"
#include "online/types/caller.h"
#include "online/types/refusal.h"

namespace lentilhead::online::internal {

/// Limits of admission.
struct AdmissionSettings {
  std::size_t max_queue = 1024;               ///< Requests queued for one service.
  std::chrono::milliseconds max_wait{5'000};  ///< Longest time in the queue.
  double quantum = 512;  ///< Cost that a caller may spend per round: tokens, or 1 per plain call.
};

/// A request to be admitted.
struct AdmissionRequest {
  std::uint64_t id = 0;
  std::string caller;
  std::string service;
  double cost = 1;
  framework::MonotonicTime deadline;
  CallerLimits limits;
};

/// The request may be sent to an endpoint now.
struct Admitted {
  std::uint64_t id;
};

/// The request is refused; the refusal is its final answer.
struct Rejected {
  std::uint64_t id;
  Refusal refusal;
};

using AdmissionEffect = std::variant<Admitted, Rejected>;
using AdmissionEffects = std::vector<AdmissionEffect>;

/// Decides whether a request is admitted, queued or refused.
///
/// Each service has one queue per caller, served by deficit round robin. A request is refused as
/// soon as its expected wait exceeds the time that it may wait.
class Admission {
 public:
  explicit Admission(AdmissionSettings settings);

  /// Admits, queues or refuses a request.
  /// @param free_slots requests that the service's endpoints can take now.
  AdmissionEffects Submit(const AdmissionRequest& request, int free_slots,
                          framework::MonotonicTime now);

  /// Admits up to `free_slots` queued requests of a service.
  AdmissionEffects Dispatch(const std::string& service, int free_slots,
                            framework::MonotonicTime now);

  /// Refuses the queued requests that can no longer be admitted in time.
  AdmissionEffects Expire(framework::MonotonicTime now);

  /// Refuses every queued request of a service, such as one that has lost all endpoints.
  AdmissionEffects RefuseAll(const std::string& service, RefusalReason reason);

  /// Records the end of an admitted request.
  void Release(std::uint64_t id, framework::MonotonicTime now);

  /// Removes a queued request whose caller disconnected.
  void Withdraw(std::uint64_t id);

  [[nodiscard]] std::size_t QueuedCount() const { return this->queued.size(); }
  [[nodiscard]] std::size_t QueuedCount(const std::string& service) const;

  /// Names of the services that have queued requests.
  [[nodiscard]] std::vector<std::string> ServicesWithQueue() const;

 private:
  struct CallerState {
    framework::TokenBucket bucket;
    CallerLimits limits;
    int in_flight = 0;
  };
  struct ServiceState {
    CallerQueues queues;
    ServiceRate rate;
  };
  /// A request that is queued or admitted.
  struct RequestState {
    std::string caller;
    std::string service;
    framework::MonotonicTime admitted_at;
  };

  /// Finds or adds the state of a request's caller and applies the caller's current limits.
  CallerState& FindOrAddCaller(const AdmissionRequest& request);
  /// Removes a caller without requests if too many callers are stored.
  void RemoveIfIdle(const std::string& caller);
  /// @param position number of requests that precede this one in its caller's queue.
  [[nodiscard]] std::chrono::milliseconds ExpectedWait(const ServiceState& service,
                                                       const std::string& caller,
                                                       std::size_t position,
                                                       framework::MonotonicTime now) const;
  [[nodiscard]] std::optional<Refusal> Check(const AdmissionRequest& request, CallerState& caller,
                                             ServiceState& service, int free_slots,
                                             framework::MonotonicTime now) const;
  void Reject(std::uint64_t id, const Refusal& refusal, AdmissionEffects& effects);

  AdmissionSettings settings;
  std::map<std::string, CallerState> callers;
  std::map<std::string, ServiceState> services;
  std::map<std::uint64_t, RequestState> queued;
  std::map<std::uint64_t, RequestState> admitted;
};

}  // namespace lentilhead::online::internal
