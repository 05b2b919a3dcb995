#pragma once

#include <chrono>
#include <cmath>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// Count of events whose weight decays exponentially.
class DecayingCount {
 public:
  /// Short enough that a fault of a few seconds raises the count, which falls soon after its end.
  static constexpr std::chrono::milliseconds kHalfLife{2000};

  /// Adds one event.
  void Add(net::SteadyTime now) {
    this->value = this->At(now) + 1;
    this->time = now;
  }

  /// The decayed count. @param now not before the last Add().
  [[nodiscard]] double At(net::SteadyTime now) const {
    const std::chrono::duration<double> age = now - this->time;
    return this->value == 0 ? 0 : this->value * std::exp2(-age / kHalfLife);
  }

 private:
  double value = 0;
  net::SteadyTime time;
};

}  // namespace lentilhead::gateway
