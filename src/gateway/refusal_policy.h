#pragma once

#include <chrono>

#include "gateway/types/route.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// Decides how long a request waits for room, and when a refused caller is to come back.
class RefusalPolicy {
 public:
  /// Time until which a request waits for room.
  [[nodiscard]] static net::SteadyTime WaitUntil(const Route& route, net::SteadyTime arrival,
                                                 net::SteadyTime deadline);

  /// Time after which a refused caller is to come back.
  /// @param draw random number from 0 up to, but not including, 1; spreads the callers.
  [[nodiscard]] static std::chrono::milliseconds RetryAfter(double draw);
};

}  // namespace lentilhead::gateway
