#include <algorithm>
#include <utility>

#include "gateway/endpoint_registry.h"

namespace lentilhead::gateway {

namespace {

// Several messages to each peer, because some datagrams are lost.
constexpr std::chrono::milliseconds kLeavingAnnouncement{2000};

}  // namespace

bool EndpointFeedback::RecordLeaving(EndpointState& state, net::SteadyTime now) {
  state.said_leaving_at = now;
  return !std::exchange(state.is_leaving, true);
}

std::vector<std::uint32_t> EndpointRegistry::SaidLeaving(net::SteadyTime now) const {
  std::vector<std::uint32_t> incarnations;
  for (const auto& [id, state] : this->endpoints) {
    if (state->is_leaving && now - state->said_leaving_at < kLeavingAnnouncement) {
      incarnations.push_back(state->incarnation);
    }
  }
  return incarnations;
}

std::vector<std::string> EndpointRegistry::RecordPeerLeaving(
    const std::vector<std::uint32_t>& incarnations) {
  std::vector<std::string> marked;
  if (incarnations.empty()) {
    return marked;
  }
  for (const auto& [id, state] : this->endpoints) {
    const bool said = std::find(incarnations.begin(), incarnations.end(), state->incarnation) !=
                      incarnations.end();
    if (said && !std::exchange(state->is_leaving, true)) {
      marked.push_back(id);
    }
  }
  return marked;
}

}  // namespace lentilhead::gateway
