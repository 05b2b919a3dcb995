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

/// Settings of admission.
struct AdmissionSettings {
  std::size_t max_queue = 1024;  ///< Requests queued for one service.
  std::chrono::milliseconds max_wait{5'000};
  double quantum = 512;  ///< Cost that a caller may use in one round.
};

/// A request that asks for admission.
struct AdmissionRequest {
  std::uint64_t id = 0;
  std::string caller;
  std::string service;
  double cost = 1;
  framework::MonotonicTime deadline;
  CallerLimits limits;
};

/// The request may be sent now.
struct Admitted {
  std::uint64_t id;
};

/// The request gets its final answer now.
struct Rejected {
  std::uint64_t id;
  Refusal refusal;
};

using AdmissionEffect = std::variant<Admitted, Rejected>;
using AdmissionEffects = std::vector<AdmissionEffect>;

/// Decides which requests of which callers are sent, queued or refused.
///
/// Each service has a queue for each caller, served by deficit round robin. A request that cannot
/// be admitted in the time that it may wait is refused as soon as that is foreseeable.
class Admission {
 public:
  explicit Admission(AdmissionSettings settings);

  /// Takes a request. @param free_slots requests that the service's endpoints can take now.
  AdmissionEffects Submit(const AdmissionRequest& request, int free_slots,
                          framework::MonotonicTime now);

  /// Admits queued requests after slots became free.
  AdmissionEffects Dispatch(const std::string& service, int free_slots,
                            framework::MonotonicTime now);

  /// Refuses the queued requests that have waited too long or will have to.
  AdmissionEffects Expire(framework::MonotonicTime now);

  /// Refuses every queued request of a service that has no endpoint.
  AdmissionEffects RefuseAll(const std::string& service, RefusalReason reason);

  /// Ends an admitted request.
  void Release(std::uint64_t id, framework::MonotonicTime now);

  /// Removes a queued request whose caller hung up.
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
  struct RequestState {
    std::string caller;
    std::string service;
    framework::MonotonicTime admitted_at;
  };

  CallerState& FindOrAddCaller(const AdmissionRequest& request);
  void RemoveIfIdle(const std::string& caller);
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
