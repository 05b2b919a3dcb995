#pragma once

#include <chrono>
#include <cmath>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// A count whose parts lose half of their weight in each half-life.
class DecayingCount {
 public:
  static constexpr std::chrono::milliseconds kHalfLife{
      2000};  // a fault of seconds shows, and fades

  /// Adds one.
  void Add(net::SteadyTime now) {
    this->value = this->At(now) + 1;
    this->time = now;
  }

  /// The count at a time that is not before the last addition.
  [[nodiscard]] double At(net::SteadyTime now) const {
    const std::chrono::duration<double> age = now - this->time;
    return this->value == 0 ? 0 : this->value * std::exp2(-age / kHalfLife);
  }

 private:
  double value = 0;
  net::SteadyTime time;
};

}  // namespace lentilhead::gateway
