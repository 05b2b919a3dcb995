#pragma once

#include <chrono>
#include <cmath>

#include "net/http_types.h"

namespace lentilhead::admission {

/// Count of recent events: the weight of an event halves every two seconds.
class RecentCount {
 public:
  static constexpr std::chrono::milliseconds kHalfLife{2000};

  void Add(net::SteadyTime now) {
    this->value = this->At(now) + 1;
    this->time = now;
  }

  /// @param now not before the last Add().
  [[nodiscard]] double At(net::SteadyTime now) const {
    const std::chrono::duration<double> age = now - this->time;
    return this->value == 0 ? 0 : this->value * std::exp2(-age / kHalfLife);
  }

 private:
  double value = 0;
  net::SteadyTime time;
};

}  // namespace lentilhead::admission
