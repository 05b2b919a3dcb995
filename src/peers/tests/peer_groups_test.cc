#include "peers/peer_groups.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lentilhead::peers {
namespace {

using net::asio::ip::make_address;

constexpr int kZones = 6;

ListedNode NodeAt(int number) {
  const std::string zone = "z" + std::to_string(number % kZones);
  const std::string address =
      "10." + std::to_string(number % kZones) + ".0." + std::to_string(1 + number / kZones);
  return {"front-" + zone + "-" + std::to_string(number), zone, make_address(address)};
}

gateway::EndpointEntry EndpointAt(const std::string& service, int number) {
  gateway::EndpointEntry entry;
  entry.id = "i-" + service + std::to_string(1000 + number * 7919 % 1000);
  entry.service = service;
  entry.zone = "z" + std::to_string(number % kZones);
  return entry;
}

/// Fleet of nodes in six zones, as each of its nodes sees it.
std::vector<PeerGroups> FleetOf(int nodes) {
  std::vector<PeerGroups> fleet;
  fleet.reserve(static_cast<std::size_t>(nodes));
  for (int self = 0; self < nodes; ++self) {
    PeerGroups& groups = fleet.emplace_back(NodeAt(self));
    for (int other = 0; other < nodes; ++other) {
      groups.Put(NodeAt(other));
    }
  }
  return fleet;
}

std::vector<gateway::EndpointEntry> EndpointsOf(int models, int services) {
  std::vector<gateway::EndpointEntry> endpoints;
  endpoints.reserve(static_cast<std::size_t>(models) + static_cast<std::size_t>(services));
  for (int number = 0; number < models; ++number) {
    endpoints.push_back(EndpointAt("model", number));
  }
  for (int number = 0; number < services; ++number) {
    endpoints.push_back(EndpointAt("plain", number));
  }
  std::sort(endpoints.begin(), endpoints.end(),
            [](const auto& left, const auto& right) { return left.id < right.id; });
  return endpoints;
}

TEST_CASE("a small fleet is one group with all endpoints") {
  const std::vector<PeerGroups> fleet = FleetOf(13);
  const gateway::EndpointGroup group = fleet[5].Select(EndpointsOf(12, 4));
  CHECK(fleet[5].Count() == 1);
  CHECK(fleet[5].OwnGroup().size() == 13);
  CHECK(fleet[5].GroupsBefore("job") == 0);
  CHECK(group.is_whole);
  CHECK(group.shared_by.size() == 16);
}

TEST_CASE("groups of a large fleet are bounded, stay in a zone and share out the endpoints") {
  const std::vector<PeerGroups> fleet = FleetOf(295);
  const std::vector<gateway::EndpointEntry> endpoints = EndpointsOf(153, 6);
  std::map<std::set<net::asio::ip::address>, gateway::EndpointGroup> by_group;
  for (int self = 0; self < 295; ++self) {
    const PeerGroups& node = fleet[static_cast<std::size_t>(self)];
    CHECK(node.OwnGroup().size() <= PeerGroups::kMaxGroupNodes);
    CHECK(node.OwnGroup().contains(NodeAt(self).address));
    const gateway::EndpointGroup group = node.Select(endpoints);
    const auto [known, is_new] = by_group.emplace(node.OwnGroup(), group);
    CHECK(known->second.shared_by == group.shared_by);
  }
  CHECK(by_group.size() == fleet[0].Count());
  std::map<std::string, int> users;
  for (const auto& [members, group] : by_group) {
    for (const auto& [id, shared_by] : group.shared_by) {
      ++users[id];
      CHECK(shared_by == (id.starts_with("i-model") ? 1 : static_cast<int>(fleet[0].Count())));
    }
  }
  CHECK(users.size() == endpoints.size());
  for (const auto& [id, count] : users) {
    CHECK(count == (id.starts_with("i-model") ? 1 : static_cast<int>(fleet[0].Count())));
  }
}

TEST_CASE("a replaced endpoint and a new node move few endpoints to other groups") {
  std::vector<PeerGroups> fleet = FleetOf(295);
  std::vector<gateway::EndpointEntry> endpoints = EndpointsOf(153, 6);
  const gateway::EndpointGroup before = fleet[40].Select(endpoints);
  endpoints[20].id = "i-modelnew";
  const gateway::EndpointGroup after = fleet[40].Select(endpoints);
  const auto moved =
      std::count_if(before.shared_by.begin(), before.shared_by.end(),
                    [&](const auto& item) { return !after.shared_by.contains(item.first); });
  CHECK(moved <= 3);
  const std::set<net::asio::ip::address> members = fleet[40].OwnGroup();
  const std::uint64_t version = fleet[40].Version();
  fleet[40].Put(NodeAt(295));
  CHECK(fleet[40].Version() > version);
  const auto left = std::count_if(members.begin(), members.end(), [&](const auto& address) {
    return !fleet[40].OwnGroup().contains(address);
  });
  CHECK(left <= 1);
}

TEST_CASE("each job has one group that comes first") {
  const std::vector<PeerGroups> fleet = FleetOf(295);
  for (int job = 0; job < 20; ++job) {
    std::set<std::set<net::asio::ip::address>> first;
    for (const PeerGroups& node : fleet) {
      if (node.GroupsBefore("job-" + std::to_string(job)) == 0) {
        first.insert(node.OwnGroup());
      }
    }
    CHECK(first.size() == 1);
  }
}

TEST_CASE("endpoints in a zone without nodes are used all the same") {
  const std::vector<PeerGroups> fleet = FleetOf(295);
  std::vector<gateway::EndpointEntry> endpoints = EndpointsOf(153, 0);
  for (gateway::EndpointEntry& endpoint : endpoints) {
    endpoint.zone = endpoint.zone == "z3" ? "elsewhere" : endpoint.zone;
  }
  std::set<std::string> used;
  for (const PeerGroups& node : fleet) {
    for (const auto& [id, shared_by] : node.Select(endpoints).shared_by) {
      used.insert(id);
    }
  }
  CHECK(used.size() == endpoints.size());
}

}  // namespace
}  // namespace lentilhead::peers
