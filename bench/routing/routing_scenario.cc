#include "bench/routing/routing_scenario.h"

namespace lentilhead::bench {

namespace {

constexpr std::size_t kEngineCount = 12;
constexpr double kSlowEngineFactor = 4;
constexpr int kPrefixCount = 120;

std::vector<EngineSpeed> Uniform() { return std::vector<EngineSpeed>(kEngineCount); }

std::vector<EngineSpeed> Skewed() {
  std::vector<EngineSpeed> engines;
  for (std::size_t index = 0; index < kEngineCount; ++index) {
    engines.push_back({.slots = 4 << (index % 3)});
  }
  return engines;
}

std::vector<EngineSpeed> OneSlow() {
  std::vector<EngineSpeed> engines = Uniform();
  engines[0].slow_factor = kSlowEngineFactor;
  return engines;
}

}  // namespace

std::vector<RoutingScenario> RoutingScenarios() {
  return {
      {.name = "uniform", .engines = Uniform()},
      {.name = "uniform_busy", .engines = Uniform(), .utilization = 0.9},
      {.name = "skewed", .engines = Skewed()},
      {.name = "one_slow", .engines = OneSlow()},
      {.name = "shared_prefixes", .engines = Uniform(), .prefixes = kPrefixCount},
      {.name = "shared_prefixes_one_slow", .engines = OneSlow(), .prefixes = kPrefixCount},
  };
}

}  // namespace lentilhead::bench
