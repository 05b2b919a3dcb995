#include "customers/counting_nodes.h"

#include <algorithm>
#include <array>

namespace lentilhead::customers {

namespace {

std::uint64_t Weight(std::uint32_t customer, NodeKey node) {
  const std::array<std::uint32_t, 2> pair{customer, node};
  return XXH64(pair.data(), sizeof(pair), 0);
}

}  // namespace

void CountingNodes::SetList(const std::vector<NodeKey>& nodes, net::SteadyTime now) {
  std::map<NodeKey, net::SteadyTime> next;
  for (const NodeKey node : nodes) {
    const auto known = this->listed_since.find(node);
    next[node] = known != this->listed_since.end() ? known->second
                 : this->listed_since.empty()      ? net::SteadyTime{}
                                                   : now;
  }
  const bool same =
      std::equal(next.begin(), next.end(), this->listed_since.begin(), this->listed_since.end(),
                 [](const auto& left, const auto& right) { return left.first == right.first; });
  if (!same) {
    this->listed_since = std::move(next);
    ++this->version;
  }
}

void CountingNodes::SetLost(NodeKey node, bool is_lost) {
  const bool changed = is_lost ? this->lost.insert(node).second : this->lost.erase(node) > 0;
  if (changed) {
    ++this->version;
  }
}

void CountingNodes::Settle(net::SteadyTime now) {
  for (auto& [node, since] : this->listed_since) {
    if (since != net::SteadyTime{} && now - since >= kSettleTime) {
      since = {};
      ++this->version;
    }
  }
}

std::vector<NodeKey> CountingNodes::First(std::uint32_t customer, bool settled_only,
                                          bool with_lost) const {
  std::vector<std::pair<std::uint64_t, NodeKey>> best;
  for (const auto& [node, since] : this->listed_since) {
    if ((settled_only && since != net::SteadyTime{}) || (!with_lost && this->lost.contains(node))) {
      continue;
    }
    best.emplace_back(Weight(customer, node), node);
    std::sort(best.begin(), best.end(), std::greater<>());
    if (best.size() > kCountingNodes) {
      best.pop_back();
    }
  }
  std::vector<NodeKey> nodes;
  nodes.reserve(best.size());
  for (const auto& [weight, node] : best) {
    nodes.push_back(node);
  }
  return nodes;
}

CountingNodes::Ranking CountingNodes::Rank(std::uint32_t customer) const {
  Ranking ranking;
  ranking.asked = this->First(customer, true, false);
  ranking.reported = ranking.asked;
  for (const NodeKey node : this->First(customer, false, false)) {
    if (std::find(ranking.reported.begin(), ranking.reported.end(), node) ==
        ranking.reported.end()) {
      ranking.reported.push_back(node);
    }
  }
  return ranking;
}

bool CountingNodes::IsAsked(NodeKey node, std::uint32_t customer) const {
  const std::vector<NodeKey> asked = this->First(customer, true, true);
  return std::find(asked.begin(), asked.end(), node) != asked.end();
}

}  // namespace lentilhead::customers
