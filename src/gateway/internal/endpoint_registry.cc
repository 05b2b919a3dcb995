#include "gateway/endpoint_registry.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "net/retry_pause.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int kOnlineOvercommit =
    1;  // queued at the endpoint, so that a free place is filled at once
constexpr int kMaxPreemptedBatch =
    3;  // batch runs at an endpoint that online requests may wait for at a time
constexpr double kPreemptedBatchCredit = 0.5;  // a batch run ends sooner than an online request
constexpr int kBatchHeadroom = 1;  // slots per endpoint that batch leaves to the next online calls
constexpr milliseconds kReportLifetime{400};  // load reports are some 100 ms old on arrival
constexpr double kMaxLatencyRatio = 8;        // bounds how far a slow endpoint is avoided
constexpr double kMinLatencyRatio = 1.5;      // below, differences of pace are left to chance
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
  return total < slots + kOnlineOvercommit + std::min(state.Batch(), kMaxPreemptedBatch);
}

/// What evidence says of an endpoint, from worst to best.
enum class Health {
  kUnreachable,  ///< it could not be reached lately
  kSuspected,    ///< an attempt at it failed lately, or too many do
  kFull,
};

/// An own answer since the peers' report outweighs it.
Health HealthOf(const EndpointState& state, net::SteadyTime now) {
  const bool peers_suspect =
      now < state.peers_suspect_until && now - state.last_answer > kPeerSuspicion;
  const bool suspect = now < state.suspect_until || state.ejected;
  if (peers_suspect || (now < state.suspect_until && state.unreachable)) {
    return Health::kUnreachable;
  }
  return suspect ? Health::kSuspected : Health::kFull;
}

}  // namespace

std::uint32_t EndpointKey(const std::string& id) { return XXH32(id.data(), id.size(), 0); }

void EndpointRegistry::Put(const EndpointEntry& entry) {
  std::shared_ptr<EndpointState>& state = this->endpoints[entry.id];
  if (!state || state->entry.address != entry.address ||
      state->entry.started_unix_ms != entry.started_unix_ms) {
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

void EndpointRegistry::Remove(const std::string& id, net::SteadyTime keep_until) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end() || !found->second->listed) {
    return;
  }
  found->second->listed = false;
  found->second->usable_until = keep_until;
}

void EndpointRegistry::ReplaceAll(const std::vector<EndpointEntry>& entries,
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

void EndpointRegistry::Prune(net::SteadyTime now) {
  std::erase_if(this->endpoints, [&](const auto& item) {
    const EndpointState& state = *item.second;
    const bool gone = !state.listed && now >= state.usable_until && state.OwnTotal() == 0;
    if (gone) {
      this->by_key.erase(state.key);
    }
    return gone;
  });
}

int EndpointRegistry::EstimatedTotal(const EndpointState& state, net::SteadyTime now) {
  int others = state.peer_online + state.peer_batch;
  if (state.reported && now - state.reported_at < kReportLifetime) {
    others =
        std::max(others, state.reported->running + state.reported->waiting - state.own_at_report);
  }
  return state.OwnTotal() + others;
}

double EndpointRegistry::MedianUnitLatency(const std::string& service) const {
  std::vector<double> latencies;
  for (const auto& [id, state] : this->endpoints) {
    if (state->entry.service == service && state->unit_latency_ms > 0) {
      latencies.push_back(state->unit_latency_ms);
    }
  }
  if (latencies.empty()) {
    return 0;
  }
  std::nth_element(latencies.begin(),
                   latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2),
                   latencies.end());
  return latencies[latencies.size() / 2];
}

double EndpointRegistry::Fill(const EndpointState& state, double median_latency_ms,
                              net::SteadyTime now) const {
  double latency_ratio = 1;
  if (median_latency_ms > 0 && state.unit_latency_ms > median_latency_ms * kMinLatencyRatio) {
    latency_ratio = std::min(state.unit_latency_ms / median_latency_ms, kMaxLatencyRatio);
  }
  double total = EstimatedTotal(state, now);
  if (total >= state.entry.slots && state.Batch() > 0) {
    total -= kPreemptedBatchCredit;
  }
  const double fill = (total + 1.0) / state.entry.slots;
  return fill * latency_ratio - (state.entry.zone == this->zone ? kZoneAdvantage : 0);
}

Choice EndpointRegistry::Choose(const ChoiceRequest& request, net::SteadyTime now) const {
  const double median_latency_ms = this->MedianUnitLatency(request.service);
  NoChoice reason = NoChoice::kNotListed;
  Health best_health = Health::kUnreachable;
  bool any_reachable = false;
  std::vector<std::shared_ptr<EndpointState>> usable;
  std::vector<PlacementCandidate> candidates;
  for (const auto& [id, state] : this->endpoints) {
    const bool excluded =
        std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
    if (state->entry.service != request.service || excluded || !IsUsable(*state, now)) {
      continue;
    }
    reason = NoChoice::kAllFull;
    const Health health = HealthOf(*state, now);
    any_reachable = any_reachable || health != Health::kUnreachable;
    if (!HasRoom(*state, request.work, EstimatedTotal(*state, now)) || health < best_health ||
        (health != Health::kFull && request.work == WorkClass::kBatch)) {
      continue;
    }
    if (health > best_health) {
      best_health = health;
      usable.clear();
      candidates.clear();
    }
    usable.push_back(state);
    candidates.push_back(
        {this->Fill(*state, median_latency_ms, now), static_cast<double>(state->entry.slots)});
  }
  // Waiting for room at an endpoint in reach is better than a try at one that is not.
  if (usable.empty() || (best_health == Health::kUnreachable && any_reachable)) {
    return {nullptr, reason};
  }
  const double unseen = this->outliers.PeerRequestRate(request.service) *
                        std::chrono::duration<double>(this->peer_load_age).count();
  return {usable[Placement::Choose(candidates, unseen, net::RandomShare())], NoChoice::kNone};
}

void EndpointRegistry::AddPeerLoad(const PeerLoads& loads, int sign) {
  for (const auto& [key, load] : loads) {
    const auto found = this->by_key.find(key);
    if (found != this->by_key.end()) {
      found->second->peer_online += sign * load.online;
      found->second->peer_batch += sign * load.batch;
    }
  }
}

void EndpointRegistry::SetPeerLoad(const std::string& peer,
                                   const std::vector<EndpointLoad>& loads) {
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

std::vector<std::uint32_t> EndpointRegistry::Unreachable(net::SteadyTime now) const {
  std::vector<std::uint32_t> keys;
  for (const auto& [id, state] : this->endpoints) {
    if (state->unreachable && now < state->suspect_until) {
      keys.push_back(state->key);
    }
  }
  return keys;
}

void EndpointRegistry::RecordPeerSuspects(const std::vector<std::uint32_t>& keys,
                                          net::SteadyTime now) {
  for (const std::uint32_t key : keys) {
    if (const auto found = this->by_key.find(key); found != this->by_key.end()) {
      found->second->peers_suspect_until = now + kPeerSuspicion;
    }
  }
}

std::vector<EndpointLoad> EndpointRegistry::OwnLoads() const {
  std::vector<EndpointLoad> loads;
  for (const auto& [id, state] : this->endpoints) {
    if (state->OwnTotal() > 0) {
      loads.push_back({state->key, state->own_online, state->own_batch});
    }
  }
  return loads;
}

int EndpointRegistry::BatchOfPeersAfter(const std::string& name, std::uint32_t endpoint_key) const {
  int count = 0;
  for (auto peer = this->peers.upper_bound(name); peer != this->peers.end(); ++peer) {
    if (const auto load = peer->second.find(endpoint_key); load != peer->second.end()) {
      count += load->second.batch;
    }
  }
  return count;
}

int EndpointRegistry::BatchToYield(const EndpointState& state, int batch_of_peers_before,
                                   net::SteadyTime now) {
  const int excess = EstimatedTotal(state, now) - state.entry.slots - batch_of_peers_before;
  return std::clamp(excess, 0, state.own_batch);
}

std::vector<std::string> EndpointRegistry::PeersToPreempt(const EndpointState& state,
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

double EndpointRegistry::Occupancy(const std::string& service, net::SteadyTime now) const {
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
