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

  /// @param half_life time in which the weight of an event halves.
  explicit DecayingCount(std::chrono::milliseconds half_life = kHalfLife) : half_life(half_life) {}

  /// Adds an event. @param weight number of events that it counts for.
  void Add(net::SteadyTime now, double weight = 1) {
    this->value = this->At(now) + weight;
    this->time = now;
  }

  /// The decayed count. @param now not before the last Add().
  [[nodiscard]] double At(net::SteadyTime now) const {
    const std::chrono::duration<double> age = now - this->time;
    return this->value == 0 ? 0 : this->value * std::exp2(-age / this->half_life);
  }

 private:
  std::chrono::milliseconds half_life;
  double value = 0;
  net::SteadyTime time;
};

}  // namespace lentilhead::gateway
