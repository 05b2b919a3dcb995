#include <doctest/doctest.h>

#include "bench/routing/routing_scenario.h"

namespace lentilhead::bench {

namespace {

constexpr double kMaxTailRatio = 1.05;
constexpr double kMinCacheHitRatio = 1.5;

}  // namespace

TEST_CASE("bounded_turns keeps p99 in bounds and hits more cached prefixes than the baselines") {
  for (const RoutingScenario& scenario : RoutingScenarios()) {
    CAPTURE(scenario.name);
    const RoutingResult chosen = RunRoutingSeeds(scenario, "bounded_turns");
    for (const char* policy : {"round_robin", "least_reported_load"}) {
      CAPTURE(policy);
      const RoutingResult baseline = RunRoutingSeeds(scenario, policy);
      REQUIRE(baseline.requests > 1'000);
      const bool has_slow_engine = scenario.name.find("one_slow") != std::string::npos;
      CHECK(chosen.p99_seconds <= baseline.p99_seconds * (has_slow_engine ? 1.0 : kMaxTailRatio));
      if (scenario.prefixes > 0) {
        CHECK(chosen.cache_hit_share >= kMinCacheHitRatio * baseline.cache_hit_share);
      }
    }
  }
}

}  // namespace lentilhead::bench
