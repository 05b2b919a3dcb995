#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "load/types/workload.h"

namespace lentilhead::load {

/// Generates the times of open-loop arrivals from a seed.
class ArrivalClock {
 public:
  /// @param share factor for the rate, from 0 to 1, when several clocks divide the arrivals.
  ArrivalClock(Arrivals arrivals, double share, std::uint64_t seed);

  /// Returns the time from the start of the run to the next arrival, or a negative time if the rate
  /// is 0.
  [[nodiscard]] std::chrono::nanoseconds Next();

 private:
  Arrivals arrivals;
  double share;
  std::mt19937_64 random;
  std::chrono::nanoseconds last{0};
};

}  // namespace lentilhead::load
