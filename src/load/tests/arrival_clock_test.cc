#include "load/arrival_clock.h"

#include <doctest/doctest.h>

namespace lentilhead::load {

namespace {

constexpr std::chrono::seconds kRunDuration{100};

int CountArrivals(const Arrivals& arrivals, double share, std::uint64_t seed) {
  ArrivalClock clock(arrivals, share, seed);
  int count = 0;
  while (clock.Next() < kRunDuration) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_CASE("the mean rate of Poisson arrivals is within five standard deviations") {
  const int count = CountArrivals(PoissonArrivals{100}, 1, 3);
  CHECK(count > 10'000 - 500);
  CHECK(count < 10'000 + 500);
}

TEST_CASE("a rate of zero outside bursts has arrivals in bursts only") {
  const BurstArrivals bursts{0, 200, std::chrono::milliseconds(1'000),
                             std::chrono::milliseconds(250)};
  ArrivalClock clock(bursts, 1, 5);
  for (int arrival = 0; arrival < 1'000; ++arrival) {
    CHECK(clock.Next() % std::chrono::milliseconds(1'000) < std::chrono::milliseconds(250));
  }
}

TEST_CASE("the same seed gives the same arrivals, and shares add up") {
  ArrivalClock first(PoissonArrivals{50}, 0.5, 9);
  ArrivalClock second(PoissonArrivals{50}, 0.5, 9);
  for (int arrival = 0; arrival < 100; ++arrival) {
    CHECK(first.Next() == second.Next());
  }
  const int both =
      CountArrivals(PoissonArrivals{50}, 0.5, 1) + CountArrivals(PoissonArrivals{50}, 0.5, 2);
  CHECK(both > 5'000 - 354);
  CHECK(both < 5'000 + 354);
}

TEST_CASE("a rate of zero has no arrivals") {
  ArrivalClock clock(PoissonArrivals{0}, 1, 1);
  CHECK(clock.Next() < std::chrono::nanoseconds(0));
}

}  // namespace lentilhead::load
