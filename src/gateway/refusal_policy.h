#pragma once

#include <chrono>

#include "gateway/types/route.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// Decides how long a request waits for a free slot, and when a refused caller is to retry.
class RefusalPolicy {
 public:
  /// Retry-After of a node that leaves: another node can take the caller at once.
  static constexpr std::chrono::milliseconds kOtherNodeRetryAfter{100};

  /// Retry-After of a request that needs more memory than an endpoint has: only another
  /// configuration helps, so an early return gains nothing.
  static constexpr std::chrono::milliseconds kTooLargeRetryAfter{3000};

  /// Time until which a request waits for a free slot.
  [[nodiscard]] static net::SteadyTime WaitUntil(const Route& route, net::SteadyTime wait_start,
                                                 net::SteadyTime deadline);

  /// Delay after which a refused caller is to retry.
  /// @param draw random number from 0 up to, but not including, 1; adds jitter to the delay.
  [[nodiscard]] static std::chrono::milliseconds RetryAfter(double draw);

  /// Delay after which a caller is to retry that was refused because this node has just started.
  /// @param has_customers whether a configuration is loaded and lists customers: the delay is then
  ///   spread, so that callers do not return together after all nodes have started.
  /// @param draw random number from 0 up to, but not including, 1; adds jitter to the delay.
  [[nodiscard]] static std::chrono::milliseconds RetryAfterNotReady(bool has_customers,
                                                                    double draw);

  /// Delay after which a caller is to retry that was refused because all endpoints are full.
  /// @param to_capacity expected time until there is capacity for its request.
  /// @param draw random number from 0 up to, but not including, 1; adds jitter to the delay.
  [[nodiscard]] static std::chrono::milliseconds RetryAfterFull(
      std::chrono::milliseconds to_capacity, double draw);

  /// Longest time to capacity after which a caller can still be served on time by its retry.
  [[nodiscard]] static std::chrono::milliseconds LongestTimeToCapacity(const Route& route,
                                                                       net::SteadyTime now,
                                                                       net::SteadyTime deadline);

  /// Delay after which a caller is to retry that was refused because endpoints limit their
  /// requests.
  /// @param permit_wait expected time until its request could be sent.
  /// @param draw random number from 0 up to, but not including, 1; adds jitter to the delay.
  [[nodiscard]] static std::chrono::milliseconds RetryAfterPermit(
      std::chrono::milliseconds permit_wait, double draw);
};

}  // namespace lentilhead::gateway
