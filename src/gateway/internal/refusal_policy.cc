#include "gateway/refusal_policy.h"

#include <algorithm>

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

// Share of the latency objective that a request may wait, so that it can still be served in time.
constexpr double kQueueWaitShare = 0.22;
constexpr milliseconds kDefaultQueueWait{100};
constexpr milliseconds kNotReadyRetryAfter{700};  // a starting node loads its state sooner
constexpr milliseconds kMinRetryAfter{400};       // an endpoint frees a slot every few tens of ms
// A limit may rise or end at any time, and callers mostly have a few seconds.
constexpr milliseconds kMaxPermitWait{3000};
constexpr milliseconds kRetryAfterSpread{900};  // jitter, so that callers do not retry together

}  // namespace

net::SteadyTime RefusalPolicy::WaitUntil(const Route& route, net::SteadyTime wait_start,
                                         net::SteadyTime deadline) {
  const auto share =
      std::chrono::duration_cast<milliseconds>(kQueueWaitShare * route.target_latency);
  return std::min(deadline, wait_start + (share.count() > 0 ? share : kDefaultQueueWait));
}

milliseconds RefusalPolicy::RetryAfter(double draw) {
  return kMinRetryAfter + std::chrono::duration_cast<milliseconds>(draw * kRetryAfterSpread);
}

milliseconds RefusalPolicy::RetryAfterNotReady(bool has_customers, double draw) {
  return has_customers ? RetryAfter(draw) : kNotReadyRetryAfter;
}

milliseconds RefusalPolicy::RetryAfterFull(milliseconds to_capacity, double draw) {
  return std::max(to_capacity, kMinRetryAfter) + RetryAfter(draw) - kMinRetryAfter;
}

milliseconds RefusalPolicy::LongestTimeToCapacity(const Route& route, net::SteadyTime now,
                                                  net::SteadyTime deadline) {
  const milliseconds left = net::ToMilliseconds(deadline - now);
  return std::max(milliseconds(0), left - route.target_latency - kRetryAfterSpread);
}

milliseconds RefusalPolicy::RetryAfterPermit(milliseconds permit_wait, double draw) {
  const milliseconds spread = RetryAfter(draw) - kMinRetryAfter;
  return std::clamp(permit_wait, kMinRetryAfter, kMaxPermitWait) + spread;
}

}  // namespace lentilhead::gateway
