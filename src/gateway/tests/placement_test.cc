#include "gateway/placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace lentilhead::gateway {
namespace {

constexpr std::size_t kEndpoints = 70;
constexpr double kSlots = 7;
constexpr int kUnseen = 150;  // 700 requests per second, reported after about 210 ms

double Draw(std::mt19937& random) { return static_cast<double>(random() % 100000) / 100000; }

/// Simulates a burst in which the nodes learn of each other's loads once per `update_period`
/// requests.
/// @return the largest number of requests at one endpoint.
int SimulateBurst(int update_period, double unseen) {
  std::mt19937 random(5);
  std::vector<int> loads(kEndpoints);
  std::generate(loads.begin(), loads.end(), [&] { return static_cast<int>(random() % 4); });
  std::vector<int> known_loads = loads;
  for (int request = 0; request < update_period * 2; ++request) {
    if (request % update_period == 0) {
      known_loads = loads;
    }
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(known_loads.size());
    for (const int load : known_loads) {
      candidates.push_back({load / kSlots, kSlots});
    }
    ++loads[Placement::Choose(candidates, unseen, Draw(random))];
  }
  return *std::max_element(loads.begin(), loads.end());
}

TEST_CASE("the least filled endpoint is chosen if no requests are unseen") {
  const std::vector<PlacementCandidate> candidates = {{3.0, 1}, {1.0, 1}, {2.5, 1}};
  for (const double draw : {0.0, 0.4, 0.99}) {
    CHECK(Placement::Choose(candidates, 0, draw) == 1);
  }
}

TEST_CASE("requests are spread in proportion to the unseen requests that each endpoint would get") {
  const std::vector<PlacementCandidate> candidates = {{0.0, 4}, {0.5, 4}, {2.0, 4}};
  std::mt19937 random(1);
  std::vector<int> chosen(candidates.size());
  for (int request = 0; request < 6000; ++request) {
    ++chosen[Placement::Choose(candidates, 5, Draw(random))];
  }
  // Five requests fill the first two endpoints to the same level: 3.5 of them go to the first.
  CHECK(chosen[0] > 4000);
  CHECK(chosen[0] < 4400);
  CHECK(chosen[2] == 0);
}

TEST_CASE("a burst over many nodes builds no queue at one endpoint while others have free slots") {
  const int least_loaded = SimulateBurst(kUnseen, 0);
  const int spread = SimulateBurst(kUnseen, kUnseen);
  CHECK(least_loaded > 2 * kSlots);
  CHECK(spread <= kSlots + 5);  // the mean is 5.8
}

}  // namespace
}  // namespace lentilhead::gateway
