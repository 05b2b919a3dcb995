#include "endpoint/internal/subset.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace lentilhead::endpoint::internal {

namespace {

constexpr int kInstances = 350;
constexpr int kEndpoints = 123;  ///< A sixth of 740 endpoints.
constexpr int kZones = 6;
constexpr std::size_t kSize = 12;

std::string ZoneOf(int number) { return "zone-" + std::to_string(number % kZones); }

std::vector<EndpointInfo> Endpoints(int count) {
  std::vector<EndpointInfo> endpoints;
  endpoints.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    endpoints.push_back({.name = "runner-" + std::to_string(number), .zone = ZoneOf(number)});
  }
  return endpoints;
}

std::set<std::string> NamesOf(int instance, const std::vector<EndpointInfo>& endpoints) {
  std::set<std::string> names;
  for (const std::size_t index :
       SelectSubset("instance-" + std::to_string(instance), ZoneOf(instance), endpoints, kSize)) {
    names.insert(endpoints[index].name);
  }
  return names;
}

}  // namespace

TEST_CASE("the subsets of 350 instances cover every endpoint and prefer the instance's own zone") {
  const auto endpoints = Endpoints(kEndpoints);
  std::map<std::string, int> covering;
  for (int instance = 0; instance < kInstances; ++instance) {
    const auto chosen =
        SelectSubset("instance-" + std::to_string(instance), ZoneOf(instance), endpoints, kSize);
    REQUIRE(chosen.size() == kSize);
    const auto local = std::count_if(chosen.begin(), chosen.end(), [&](std::size_t index) {
      return endpoints[index].zone == ZoneOf(instance);
    });
    REQUIRE(local == 9);
    for (const std::size_t index : chosen) {
      covering[endpoints[index].name] += 1;
    }
  }
  REQUIRE(covering.size() == kEndpoints);
  const double mean = static_cast<double>(kInstances) * kSize / kEndpoints;
  for (const auto& [name, instances] : covering) {
    CHECK(instances >= mean / 2);
    CHECK(instances <= mean * 2);
  }
}

TEST_CASE("the removal of an endpoint changes at most one member of a subset") {
  auto endpoints = Endpoints(kEndpoints);
  std::vector<std::set<std::string>> before;
  before.reserve(kInstances);
  for (int instance = 0; instance < kInstances; ++instance) {
    before.push_back(NamesOf(instance, endpoints));
  }
  endpoints.erase(endpoints.begin() + 17);
  for (int instance = 0; instance < kInstances; ++instance) {
    const auto after = NamesOf(instance, endpoints);
    std::vector<std::string> lost;
    std::set_difference(before[instance].begin(), before[instance].end(), after.begin(),
                        after.end(), std::back_inserter(lost));
    REQUIRE(lost.size() <= 1);
  }
}

TEST_CASE("a subset is filled from other zones and takes all endpoints of a short list") {
  const auto few = Endpoints(5);
  CHECK(SelectSubset("instance", "zone-0", few, kSize).size() == 5);
  const auto endpoints = Endpoints(30);
  CHECK(SelectSubset("instance", "zone-0", endpoints, kSize).size() == kSize);
  CHECK(SelectSubset("instance", "another", endpoints, kSize).size() == kSize);
}

}  // namespace lentilhead::endpoint::internal
