#pragma once

#include "framework/types/time_types.h"

namespace lentilhead::framework {

/// Token bucket rate limit. Decides from the times that it is given; never reads a clock.
class TokenBucket {
 public:
  /// @param rate tokens added a second. @param capacity most tokens held; the bucket starts full.
  TokenBucket(double rate, double capacity);

  /// Takes tokens if there are enough.
  [[nodiscard]] bool TryTake(MonotonicTime now, double tokens = 1);

  /// Time until `tokens` are available; zero if they are now.
  [[nodiscard]] std::chrono::nanoseconds TimeUntil(MonotonicTime now, double tokens = 1);

  [[nodiscard]] double Available(MonotonicTime now);

 private:
  void Refill(MonotonicTime now);

  double rate;
  double capacity;
  double level;
  MonotonicTime refilled;
  bool started = false;
};

}  // namespace lentilhead::framework
