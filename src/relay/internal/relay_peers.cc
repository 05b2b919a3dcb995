#include "relay/relay_peers.h"

#include <algorithm>

namespace lentilhead::relay {

namespace {

using std::chrono::milliseconds;

// A node that is heard of sends news at least every 300 ms.
constexpr milliseconds kNewsLifetime{1500};
// How long a node is not asked again after an outcome.
constexpr milliseconds kFullPause{200};
constexpr milliseconds kBrokenPause{300};
constexpr milliseconds kCutOffPause{700};
constexpr milliseconds kNoAnswerPause{2000};

milliseconds PauseAfter(TunnelOutcome outcome) {
  switch (outcome) {
    case TunnelOutcome::kGranted:
    case TunnelOutcome::kUnreachable:  // says more of the endpoint than of the node
      return milliseconds(0);
    case TunnelOutcome::kFull:
      return kFullPause;
    case TunnelOutcome::kCutOff:
    case TunnelOutcome::kLeaving:
    case TunnelOutcome::kNotListed:
      return kCutOffPause;
    case TunnelOutcome::kNoAnswer:
      return kNoAnswerPause;
  }
  return milliseconds(0);
}

}  // namespace

void RelayPeers::SetNodes(const std::vector<RelayNode>& listed) {
  std::map<Address, State> kept;
  for (const RelayNode& node : listed) {
    if (node.address != this->own) {
      kept[node.address] = this->nodes[node.address];
      kept[node.address].zone = node.zone;
    }
  }
  this->nodes = std::move(kept);
}

void RelayPeers::RecordNews(const Address& node, PeerNews news, net::SteadyTime now) {
  const auto found = this->nodes.find(node);
  if (found == this->nodes.end()) {
    return;
  }
  found->second.heard_at = now;
  if (news != PeerNews::kServing) {
    found->second.avoided_until = std::max(found->second.avoided_until, now + kCutOffPause);
  }
  if (news == PeerNews::kLeaving) {
    found->second.leaving_until = now + kCutOffPause;
  }
}

void RelayPeers::RecordOutcome(const Address& node, TunnelOutcome outcome, net::SteadyTime now) {
  const auto found = this->nodes.find(node);
  if (found == this->nodes.end()) {
    return;
  }
  const milliseconds pause = PauseAfter(outcome);
  if (pause > milliseconds(0)) {
    found->second.avoided_until = std::max(found->second.avoided_until, now + pause);
  }
}

void RelayPeers::RecordBroken(const Address& node, net::SteadyTime now) {
  if (const auto found = this->nodes.find(node); found != this->nodes.end()) {
    found->second.avoided_until = std::max(found->second.avoided_until, now + kBrokenPause);
  }
}

bool RelayPeers::IsLeaving(const Address& node, net::SteadyTime now) const {
  const auto found = this->nodes.find(node);
  return found != this->nodes.end() && now < found->second.leaving_until;
}

bool RelayPeers::IsListed(const Address& node) const {
  return node == this->own || this->nodes.contains(node);
}

std::optional<RelayPeers::Address> RelayPeers::Choose(const std::vector<Address>& tried,
                                                      double random, net::SteadyTime now) const {
  std::set<std::string> tried_zones;
  for (const Address& address : tried) {
    if (const auto found = this->nodes.find(address); found != this->nodes.end()) {
      tried_zones.insert(found->second.zone);
    }
  }
  std::vector<const Address*> preferred;
  std::vector<const Address*> others;
  for (const auto& [address, state] : this->nodes) {
    if (now < state.avoided_until || std::ranges::find(tried, address) != tried.end()) {
      continue;
    }
    const bool was_heard =
        state.heard_at != net::SteadyTime{} && now - state.heard_at < kNewsLifetime;
    const bool is_preferred = tried.empty() ? was_heard : !tried_zones.contains(state.zone);
    (is_preferred ? preferred : others).push_back(&address);
  }
  const std::vector<const Address*>& among = preferred.empty() ? others : preferred;
  if (among.empty()) {
    return std::nullopt;
  }
  const auto pick = static_cast<std::size_t>(random * static_cast<double>(among.size()));
  return *among[std::min(pick, among.size() - 1)];
}

}  // namespace lentilhead::relay
