#include "gateway/tests/limit_simulation.h"

#include <doctest/doctest.h>

#include <cstdlib>

namespace lentilhead::gateway::tests {
namespace {

using std::chrono::milliseconds;

constexpr double kMaxShareOfBound = 0.9;
constexpr double kMinUsed = 0.85;
constexpr double kMinFreed = 0.9;
constexpr int kSmallFleetSeeds = 10;

/// The number of seeds to play; more if the environment asks for them.
int Seeds(int seeds) {
  const char* asked = std::getenv("LENTILHEAD_SIMULATION_SEEDS");
  return asked != nullptr ? std::atoi(asked) : seeds;
}

/// Plays a fleet with several seeds and checks what every one of them must show.
/// @param check_use also check that the limits are used.
void CheckKept(const LimitSimulationSetup& setup, bool check_use = true,
               int seeds = kSmallFleetSeeds) {
  for (int seed = 1; seed <= Seeds(seeds); ++seed) {
    CAPTURE(seed);
    const LimitSimulationResult result =
        LimitSimulation(setup, static_cast<std::uint32_t>(seed)).Run();
    CHECK(result.worst <= kMaxShareOfBound);
    if (check_use) {
      CHECK(result.used >= kMinUsed);
    }
  }
}

LimitSimulationSetup AllLimited(int nodes, int endpoints, double limit, double requests) {
  LimitSimulationSetup setup;
  setup.nodes = nodes;
  setup.endpoints = endpoints;
  setup.limited = endpoints;
  setup.limit = limit;
  setup.requests_per_second = requests;
  return setup;
}

TEST_CASE("a small fleet keeps to the limits of most of its endpoints and uses them") {
  CheckKept({});
}

TEST_CASE("a fleet keeps to limits from one in five seconds to fifty a second and uses them") {
  CheckKept(AllLimited(3, 3, 0.2, 100));
  CheckKept(AllLimited(10, 9, 1, 100));
  CheckKept(AllLimited(10, 9, 3, 40));
  CheckKept(AllLimited(24, 9, 3, 100));
  CheckKept(AllLimited(10, 9, 50, 600));
}

TEST_CASE("a limit is used while twice as much is asked of one endpoint by many nodes") {
  CheckKept(AllLimited(24, 1, 3, 6));
}

TEST_CASE("a limit is kept and used when all requests move from one node to another") {
  LimitSimulationSetup setup = AllLimited(10, 9, 4, 100);
  setup.is_skewed = true;
  CheckKept(setup);
}

TEST_CASE("a limit that endpoints name in every fourth answer is kept") {
  LimitSimulationSetup setup;
  setup.named_every = 4;
  CheckKept(setup);
  setup.limit = 0.2;
  CheckKept(setup);
  LimitSimulationSetup high = AllLimited(3, 9, 20, 400);
  high.named_every = 4;
  CheckKept(high);
}

TEST_CASE("limits are kept while nodes start again, are frozen or cut off") {
  for (const int nodes : {3, 10, 24}) {
    for (const double limit : {1.0, 4.0}) {
      CAPTURE(nodes);
      CAPTURE(limit);
      LimitSimulationSetup setup = AllLimited(nodes, 9, limit, 100);
      setup.has_trouble = true;
      CheckKept(setup, false);
    }
  }
}

TEST_CASE("a limit that ends is forgotten within a second") {
  LimitSimulationSetup setup;
  setup.limit_end = milliseconds(10000);
  for (int seed = 1; seed <= Seeds(kSmallFleetSeeds); ++seed) {
    CAPTURE(seed);
    const LimitSimulationResult result =
        LimitSimulation(setup, static_cast<std::uint32_t>(seed)).Run();
    CHECK(result.freed >= kMinFreed * setup.limited / setup.endpoints);
  }
}

TEST_CASE("fleets of several groups keep to limits and use them") {
  CheckKept(AllLimited(30, 60, 3, 500), true, 4);
  CheckKept(AllLimited(100, 200, 1, 600), true, 2);
  CheckKept(AllLimited(100, 6, 5, 300), true, 2);
}

TEST_CASE("nodes leave the limited endpoints of other groups alone when their own are full") {
  CheckKept(AllLimited(100, 200, 0.2, 600), false, 2);
}

TEST_CASE("the largest fleet keeps to the limits of all its endpoints and uses them") {
  LimitSimulationSetup setup = AllLimited(350, 740, 2, 2500);
  setup.duration = milliseconds(10000);
  CheckKept(setup, true, 1);
}

}  // namespace
}  // namespace lentilhead::gateway::tests
