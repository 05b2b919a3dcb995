#include "load/arrival_clock.h"

#include <utility>

namespace lentilhead::load {

namespace {

constexpr std::chrono::nanoseconds kNoMoreArrivals{-1};

/// Maximum rate of the arrivals. Arrivals are drawn at this rate and thinned to the rate at their
/// time.
struct MaxRate {
  double operator()(const PoissonArrivals& arrivals) const { return arrivals.rate; }
  double operator()(const BurstArrivals& arrivals) const {
    return std::max(arrivals.rate, arrivals.burst_rate);
  }
};

struct RateAt {
  std::chrono::nanoseconds time;
  double operator()(const PoissonArrivals& arrivals) const { return arrivals.rate; }
  double operator()(const BurstArrivals& arrivals) const {
    const bool in_burst = this->time % arrivals.period < arrivals.length;
    return in_burst ? arrivals.burst_rate : arrivals.rate;
  }
};

}  // namespace

ArrivalClock::ArrivalClock(Arrivals arrivals, double share, std::uint64_t seed)
    : arrivals(arrivals), share(share), random(seed) {}

std::chrono::nanoseconds ArrivalClock::Next() {
  const double max_rate = std::visit(MaxRate{}, this->arrivals) * this->share;
  if (max_rate <= 0) {
    return kNoMoreArrivals;
  }
  std::exponential_distribution<double> gap(max_rate);
  std::uniform_real_distribution<double> draw(0, max_rate);
  while (true) {
    this->last += std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(gap(this->random)));
    if (draw(this->random) < std::visit(RateAt{this->last}, this->arrivals) * this->share) {
      return this->last;
    }
  }
}

}  // namespace lentilhead::load
