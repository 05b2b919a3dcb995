#include "peers/peer_groups.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lentilhead::peers {

namespace {

// With fewer endpoints per group, a group could not balance its load among them.
constexpr std::size_t kMinEndpointsPerGroup = 2;

XXH64_hash_t Weight(const std::string& key, const std::string& group) {
  const std::string text = key + '\n' + group;
  return XXH64(text.data(), text.size(), 0);
}

std::size_t DivideRoundingUp(std::size_t count, std::size_t by) { return (count + by - 1) / by; }

}  // namespace

PeerGroups::PeerGroups(ListedNode self) : self(std::move(self)) { this->Put(this->self); }

void PeerGroups::Put(const ListedNode& node) {
  const auto known = this->nodes.find(node.name);
  if (known != this->nodes.end() && known->second == node) {
    return;
  }
  this->nodes[node.name] = node;
  ++this->version;
  this->Divide();
}

void PeerGroups::Divide() {
  std::map<std::string, std::vector<const ListedNode*>> zones;
  for (const auto& [name, node] : this->nodes) {
    zones[this->nodes.size() <= kMaxSingleGroupNodes ? "" : node.zone].push_back(&node);
  }
  this->groups.clear();
  this->own_addresses.clear();
  for (const auto& [zone, members] : zones) {
    const std::size_t count = zones.size() == 1 && members.size() <= kMaxSingleGroupNodes
                                  ? 1
                                  : DivideRoundingUp(members.size(), kMaxGroupNodes);
    const std::size_t first = this->groups.size();
    for (std::size_t index = 0; index < count; ++index) {
      this->groups.push_back({zone + "/" + std::to_string(index), zone});
    }
    // Contiguous ranges of the sorted names: a new node moves few others to another group.
    const std::size_t size = members.size();
    const auto group_at = [&](std::size_t rank) { return first + rank * count / size; };
    const auto own = std::find_if(members.begin(), members.end(), [&](const ListedNode* node) {
      return node->name == this->self.name;
    });
    if (own == members.end()) {
      continue;
    }
    this->own_group = group_at(static_cast<std::size_t>(own - members.begin()));
    for (std::size_t rank = 0; rank < members.size(); ++rank) {
      if (group_at(rank) == this->own_group) {
        this->own_addresses.insert(members[rank]->address);
      }
    }
  }
}

bool PeerGroups::IsInOwnGroup(const std::string& node) const {
  const auto listed = this->nodes.find(node);
  return listed != this->nodes.end() && this->own_addresses.contains(listed->second.address);
}

std::size_t PeerGroups::GroupsBefore(const std::string& key) const {
  const XXH64_hash_t own = Weight(key, this->groups[this->own_group].name);
  return static_cast<std::size_t>(
      std::count_if(this->groups.begin(), this->groups.end(),
                    [&](const Group& group) { return Weight(key, group.name) > own; }));
}

std::map<std::string, std::size_t> PeerGroups::Assign(
    const std::vector<const gateway::EndpointEntry*>& endpoints) const {
  std::map<std::string, std::size_t> in_zone;  // endpoints by zone
  std::map<std::string, std::size_t> groups_in_zone;
  for (const Group& group : this->groups) {
    ++groups_in_zone[group.zone];
  }
  const auto zone_of = [&](const gateway::EndpointEntry& endpoint) {
    return groups_in_zone.contains(endpoint.zone) ? endpoint.zone : std::string();
  };
  for (const gateway::EndpointEntry* endpoint : endpoints) {
    ++in_zone[zone_of(*endpoint)];
  }
  std::map<std::string, std::map<std::size_t, std::size_t>> taken;  // by zone and group
  std::map<std::string, std::size_t> placed;                        // by zone
  std::map<std::string, std::size_t> assigned;
  for (const gateway::EndpointEntry* endpoint : endpoints) {
    const std::string zone = zone_of(*endpoint);
    const std::size_t candidates = zone.empty() ? this->groups.size() : groups_in_zone[zone];
    // Each group of a zone has the same number of endpoints, but for the remainder.
    const std::size_t even_share = in_zone[zone] / candidates;
    const bool is_remainder = placed[zone]++ >= even_share * candidates;
    const std::size_t limit = is_remainder ? even_share + 1 : even_share;
    std::size_t best = this->groups.size();
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
      const bool fits =
          (zone.empty() || this->groups[index].zone == zone) && taken[zone][index] < limit;
      if (fits &&
          (best == this->groups.size() || Weight(endpoint->id, this->groups[index].name) >
                                              Weight(endpoint->id, this->groups[best].name))) {
        best = index;
      }
    }
    if (best < this->groups.size()) {
      ++taken[zone][best];
      assigned[endpoint->id] = best;
    }
  }
  return assigned;
}

gateway::EndpointGroup PeerGroups::Select(
    const std::vector<gateway::EndpointEntry>& endpoints) const {
  gateway::EndpointGroup selected;
  selected.is_whole = this->groups.size() == 1;
  std::map<std::string, std::vector<const gateway::EndpointEntry*>> services;
  for (const gateway::EndpointEntry& endpoint : endpoints) {
    services[endpoint.service].push_back(&endpoint);
  }
  for (const auto& [service, members] : services) {
    std::vector<std::string> own;
    if (members.size() >= kMinEndpointsPerGroup * this->groups.size()) {
      for (const auto& [id, group] : this->Assign(members)) {
        if (group == this->own_group) {
          own.push_back(id);
        }
      }
    }
    if (own.size() >= kMinEndpointsPerGroup) {
      for (const std::string& id : own) {
        selected.shared_by[id] = 1;
      }
      continue;
    }
    for (const gateway::EndpointEntry* endpoint : members) {
      selected.shared_by[endpoint->id] = static_cast<int>(this->groups.size());
    }
  }
  return selected;
}

}  // namespace lentilhead::peers
