#pragma once

#include <chrono>
#include <cstdint>

#include "gateway/types/decaying_count.h"
#include "net/http_types.h"

namespace lentilhead::jobs {

/// Measures how fast the waiting tokens of a route decrease, and tells a refused caller when its
/// job is expected to fit. Reads no clock.
class TokenDrain {
 public:
  /// Records that waiting tokens have been completed.
  void Add(std::int64_t tokens, net::SteadyTime now);

  /// Returns the tokens completed per second, averaged over the last seconds.
  [[nodiscard]] double TokensPerSecond(net::SteadyTime now) const;

  /// Returns the delay after which a caller whose job exceeds the limit is to return.
  /// @param excess tokens beyond the limit.
  /// @param draw random number from 0 up to, but not including, 1; spreads the callers.
  [[nodiscard]] std::chrono::milliseconds RetryAfter(std::int64_t excess, double draw,
                                                     net::SteadyTime now) const;

 private:
  static constexpr std::chrono::milliseconds kHalfLife{4000};

  gateway::DecayingCount completed{kHalfLife};
};

}  // namespace lentilhead::jobs
