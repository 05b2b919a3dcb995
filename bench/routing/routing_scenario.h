#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace lentilhead::bench {

/// Slots and speed of one engine of a scenario.
struct EngineSpeed {
  int slots = 8;
  double slow_factor = 1;
};

/// Simulated fleet and its load.
struct RoutingScenario {
  std::string name;
  std::vector<EngineSpeed> engines;
  int instances = 12;
  double utilization = 0.75;  ///< Share of the slots in use under the mean load.
  int prefixes = 0;           ///< Number of prefixes that prompts share; 0 for none.
  int cache_prefixes = 24;    ///< Capacity of each engine's prefix cache.
  double mean_tokens = 40;    ///< Mean answer length; lengths have a geometric distribution.
  std::chrono::seconds length{120};
};

/// Returns the scenarios of the routing measurement.
std::vector<RoutingScenario> RoutingScenarios();

/// Measurements of one policy in one scenario.
struct RoutingResult {
  std::size_t requests = 0;
  double p50_seconds = 0;  ///< Median of the time to the first token.
  double p99_seconds = 0;  ///< 99th percentile of the time to the first token.
  double cache_hit_share = 0;
};

/// Runs a scenario in virtual time. Each instance routes requests by its own endpoint table to
/// simulated engines, whose load reports lag.
RoutingResult RunRoutingScenario(const RoutingScenario& scenario, const std::string& policy,
                                 std::uint64_t seed);

/// Runs a scenario with four fixed seeds.
/// @return the total number of requests and the means of the other measurements.
RoutingResult RunRoutingSeeds(const RoutingScenario& scenario, const std::string& policy);

}  // namespace lentilhead::bench
