#include "gateway/endpoint_book.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "net/backoff.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int kOnlineOvercommit =
    1;  // queued at the endpoint, so that a free place is filled at once
constexpr int kMostDisplaced =
    3;  // batch runs at an endpoint that online requests may wait for at a time
constexpr double kDisplacedShare = 0.5;  // a batch run ends sooner than an online request
constexpr int kBatchHeadroom = 1;  // places per endpoint that batch leaves to the next online calls
constexpr milliseconds kReportLifetime{400};  // load reports are some 100 ms old on arrival
constexpr double kLargestSlowness = 8;        // bounds how far a slow endpoint is avoided
constexpr double kSlownessFloor = 1.5;        // below, differences of pace are left to chance
constexpr milliseconds kPeerSuspicion{500};   // reports are repeated while they hold
constexpr double kZoneAdvantage = 0.02;       // breaks ties towards the own zone

bool IsUsable(const EndpointState& state, net::SteadyTime now) {
  return !state.entry.is_draining && (state.listed || now < state.usable_until);
}

/// Batch work in the way of online work ends as soon as its node hears of it.
bool HasRoom(const EndpointState& state, WorkClass work, int total) {
  const int slots = state.entry.slots;
  if (work == WorkClass::kBatch) {
    return total < slots - std::min(kBatchHeadroom, slots - 1);
  }
  return total < slots + kOnlineOvercommit + std::min(state.Batch(), kMostDisplaced);
}

/// What evidence says of an endpoint, from worst to best.
enum class Trust {
  kOutOfReach,  ///< it could not be reached lately
  kDoubtful,    ///< an attempt at it failed lately, or too many do
  kFull,
};

/// An own answer since the peers' report outweighs it.
Trust TrustIn(const EndpointState& state, net::SteadyTime now) {
  const bool peers_suspect =
      now < state.peers_suspect_until && now - state.last_answer > kPeerSuspicion;
  const bool suspect = now < state.suspect_until || state.doubted;
  if (peers_suspect || (now < state.suspect_until && state.out_of_reach)) {
    return Trust::kOutOfReach;
  }
  return suspect ? Trust::kDoubtful : Trust::kFull;
}

}  // namespace

std::uint32_t EndpointKey(const std::string& id) { return XXH32(id.data(), id.size(), 0); }

void EndpointBook::Put(const EndpointEntry& entry) {
  std::shared_ptr<EndpointState>& state = this->endpoints[entry.id];
  if (!state || state->entry.address != entry.address ||
      state->entry.born_unix_ms != entry.born_unix_ms) {
    state = std::make_shared<EndpointState>();
    state->key = EndpointKey(entry.id);
    this->by_key[state->key] = state;
    for (const auto& [peer, loads] : this->peers) {
      if (const auto load = loads.find(state->key); load != loads.end()) {
        state->peer_online += load->second.online;
        state->peer_batch += load->second.batch;
      }
    }
  }
  state->entry = entry;
  state->listed = true;
}

void EndpointBook::Remove(const std::string& id, net::SteadyTime keep_until) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end() || !found->second->listed) {
    return;
  }
  found->second->listed = false;
  found->second->usable_until = keep_until;
}

void EndpointBook::ReplaceAll(const std::vector<EndpointEntry>& entries,
                              net::SteadyTime keep_missing_until) {
  std::vector<std::string> missing;
  for (const auto& [id, state] : this->endpoints) {
    const bool found =
        std::any_of(entries.begin(), entries.end(),
                    [&id = id](const EndpointEntry& entry) { return entry.id == id; });
    if (!found) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    this->Remove(id, keep_missing_until);
  }
  for (const EndpointEntry& entry : entries) {
    this->Put(entry);
  }
}

void EndpointBook::Prune(net::SteadyTime now) {
  std::erase_if(this->endpoints, [&](const auto& item) {
    const EndpointState& state = *item.second;
    const bool gone = !state.listed && now >= state.usable_until && state.OwnTotal() == 0;
    if (gone) {
      this->by_key.erase(state.key);
    }
    return gone;
  });
}

int EndpointBook::EstimatedTotal(const EndpointState& state, net::SteadyTime now) {
  int others = state.peer_online + state.peer_batch;
  if (state.reported && now - state.reported_at < kReportLifetime) {
    others =
        std::max(others, state.reported->running + state.reported->waiting - state.own_at_report);
  }
  return state.OwnTotal() + others;
}

double EndpointBook::MedianPace(const std::string& service) const {
  std::vector<double> paces;
  for (const auto& [id, state] : this->endpoints) {
    if (state->entry.service == service && state->pace_ms > 0) {
      paces.push_back(state->pace_ms);
    }
  }
  if (paces.empty()) {
    return 0;
  }
  std::nth_element(paces.begin(), paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2),
                   paces.end());
  return paces[paces.size() / 2];
}

double EndpointBook::Fill(const EndpointState& state, double median_pace,
                          net::SteadyTime now) const {
  double slowness = 1;
  if (median_pace > 0 && state.pace_ms > median_pace * kSlownessFloor) {
    slowness = std::min(state.pace_ms / median_pace, kLargestSlowness);
  }
  double total = EstimatedTotal(state, now);
  if (total >= state.entry.slots && state.Batch() > 0) {
    total -= kDisplacedShare;
  }
  const double fill = (total + 1.0) / state.entry.slots;
  return fill * slowness - (state.entry.zone == this->zone ? kZoneAdvantage : 0);
}

Choice EndpointBook::Choose(const ChoiceRequest& request, net::SteadyTime now) const {
  const double median_pace = this->MedianPace(request.service);
  NoChoice reason = NoChoice::kNotListed;
  Trust best_trust = Trust::kOutOfReach;
  bool any_in_reach = false;
  std::vector<std::shared_ptr<EndpointState>> usable;
  std::vector<PlacementCandidate> candidates;
  for (const auto& [id, state] : this->endpoints) {
    const bool excluded =
        std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
    if (state->entry.service != request.service || excluded || !IsUsable(*state, now)) {
      continue;
    }
    reason = NoChoice::kAllFull;
    const Trust trust = TrustIn(*state, now);
    any_in_reach = any_in_reach || trust != Trust::kOutOfReach;
    if (!HasRoom(*state, request.work, EstimatedTotal(*state, now)) || trust < best_trust ||
        (trust != Trust::kFull && request.work == WorkClass::kBatch)) {
      continue;
    }
    if (trust > best_trust) {
      best_trust = trust;
      usable.clear();
      candidates.clear();
    }
    usable.push_back(state);
    candidates.push_back(
        {this->Fill(*state, median_pace, now), static_cast<double>(state->entry.slots)});
  }
  // Waiting for room at an endpoint in reach is better than a try at one that is not.
  if (usable.empty() || (best_trust == Trust::kOutOfReach && any_in_reach)) {
    return {nullptr, reason};
  }
  const double unseen = this->failures.PeerRate(request.service) *
                        std::chrono::duration<double>(this->information_age).count();
  return {usable[Placement::Choose(candidates, unseen, net::RandomFraction())], NoChoice::kNone};
}

void EndpointBook::AddPeerLoad(const PeerLoads& loads, int sign) {
  for (const auto& [key, load] : loads) {
    const auto found = this->by_key.find(key);
    if (found != this->by_key.end()) {
      found->second->peer_online += sign * load.online;
      found->second->peer_batch += sign * load.batch;
    }
  }
}

void EndpointBook::SetPeerLoad(const std::string& peer, const std::vector<EndpointLoad>& loads) {
  PeerLoads& known = this->peers[peer];
  this->AddPeerLoad(known, -1);
  known.clear();
  for (const EndpointLoad& load : loads) {
    known[load.endpoint_key] = load;
  }
  this->AddPeerLoad(known, 1);
  if (known.empty()) {
    this->peers.erase(peer);
  }
}

std::vector<std::uint32_t> EndpointBook::Unreachable(net::SteadyTime now) const {
  std::vector<std::uint32_t> keys;
  for (const auto& [id, state] : this->endpoints) {
    if (state->out_of_reach && now < state->suspect_until) {
      keys.push_back(state->key);
    }
  }
  return keys;
}

void EndpointBook::NotePeerSuspects(const std::vector<std::uint32_t>& keys, net::SteadyTime now) {
  for (const std::uint32_t key : keys) {
    if (const auto found = this->by_key.find(key); found != this->by_key.end()) {
      found->second->peers_suspect_until = now + kPeerSuspicion;
    }
  }
}

std::vector<EndpointLoad> EndpointBook::OwnLoads() const {
  std::vector<EndpointLoad> loads;
  for (const auto& [id, state] : this->endpoints) {
    if (state->OwnTotal() > 0) {
      loads.push_back({state->key, state->own_online, state->own_batch});
    }
  }
  return loads;
}

int EndpointBook::BatchOfPeersAfter(const std::string& name, std::uint32_t endpoint_key) const {
  int count = 0;
  for (auto peer = this->peers.upper_bound(name); peer != this->peers.end(); ++peer) {
    if (const auto load = peer->second.find(endpoint_key); load != peer->second.end()) {
      count += load->second.batch;
    }
  }
  return count;
}

int EndpointBook::BatchToYield(const EndpointState& state, int batch_of_peers_before,
                               net::SteadyTime now) {
  const int excess = EstimatedTotal(state, now) - state.entry.slots - batch_of_peers_before;
  return std::clamp(excess, 0, state.own_batch);
}

std::vector<std::string> EndpointBook::PeersInTheWay(const EndpointState& state,
                                                     net::SteadyTime now) const {
  std::vector<std::string> names;
  if (state.peer_batch == 0 || EstimatedTotal(state, now) <= state.entry.slots) {
    return names;
  }
  for (const auto& [peer, loads] : this->peers) {
    if (const auto load = loads.find(state.key); load != loads.end() && load->second.batch > 0) {
      names.push_back(peer);
    }
  }
  return names;
}

double EndpointBook::Occupancy(const std::string& service, net::SteadyTime now) const {
  int slots = 0;
  int taken = 0;
  for (const auto& [id, state] : this->endpoints) {
    if (state->entry.service == service && IsUsable(*state, now)) {
      slots += state->entry.slots;
      taken += std::min(state->entry.slots, EstimatedTotal(*state, now));
    }
  }
  return slots == 0 ? 1.0 : static_cast<double>(taken) / slots;
}

}  // namespace lentilhead::gateway
