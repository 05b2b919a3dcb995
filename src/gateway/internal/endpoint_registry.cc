#include "gateway/endpoint_registry.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "placement/work_placement.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

// An online request may wait in the endpoint's queue, so that a freed slot is used at once.
constexpr int kOnlineOvercommit = 1;
// Limit on the online requests sent to a full endpoint beyond that, one per batch request that is
// to be preempted there.
constexpr int kMaxPreemptedBatch = 3;
// Requests subtracted from the load of a full endpoint with batch work, because a batch request
// yields sooner than an online request ends.
constexpr double kPreemptedBatchDiscount = 0.5;
// Slots per endpoint that batch work leaves free for the next online requests.
constexpr int kBatchHeadroom = 1;
// A load report is about 100 ms old when received, and outdated after this time.
constexpr milliseconds kReportLifetime{400};
constexpr double kMaxLatencyRatio = 8;    // limits how strongly a slow endpoint is avoided
constexpr double kMinLatencyRatio = 1.5;  // smaller latency ratios are treated as random
// Longer than the longest time between two messages of a peer, which repeat a report while it
// applies.
constexpr milliseconds kPeerSuspicion{500};
// Enough to spread requests over all endpoints outside the group, whose load is mostly unknown.
constexpr double kUnseenOutsideGroup = 1000;
// Entries that lapse while the store is away return within about two seconds of it.
constexpr milliseconds kLeavingMemory{10000};
constexpr double kZoneAdvantage = 0.02;  // only breaks ties in favour of the own zone

bool IsUsable(const EndpointState& state, net::SteadyTime now) {
  return !state.entry.is_draining && !state.is_leaving &&
         (state.listed || now < state.usable_until);
}

/// Tells whether an endpoint can take one more request.
///
/// Online requests may exceed the slots by the number of batch requests, up to a limit: a node
/// preempts its batch requests as soon as it learns of the online requests sent by other nodes.
bool HasCapacity(const EndpointState& state, WorkClass work, int total) {
  const int slots = state.entry.slots;
  if (work == WorkClass::kBatch) {
    return total < slots - std::min(kBatchHeadroom, slots - 1);
  }
  return total < slots + kOnlineOvercommit + std::min(state.Batch(), kMaxPreemptedBatch);
}

/// Health of an endpoint, from worst to best.
enum class Health {
  kUnreachable,  ///< this node or a peer recently could not reach the endpoint
  kSuspected,    ///< an attempt recently failed, or outlier detection ejected the endpoint
  kHealthy,
};

/// Returns the health of an endpoint. A recent answer to this node overrides the peers' reports.
Health HealthOf(const EndpointState& state, net::SteadyTime now) {
  const bool peers_suspect =
      now < state.peers_suspect_until && now - state.last_answer > kPeerSuspicion;
  const bool suspect = now < state.suspect_until || state.ejected;
  if (peers_suspect || (now < state.suspect_until && state.unreachable)) {
    return Health::kUnreachable;
  }
  return suspect ? Health::kSuspected : Health::kHealthy;
}

}  // namespace

EndpointRegistry::EndpointRegistry(std::string zone, std::function<double()> draw)
    : zone(zone),
      draw(std::move(draw)),
      outliers(std::move(zone)),
      limits(static_cast<std::uint32_t>(this->draw() * std::numeric_limits<std::uint32_t>::max())) {
}

std::uint32_t HashKey(const std::string& id) { return XXH32(id.data(), id.size(), 0); }

void EndpointRegistry::Put(const EndpointEntry& entry) {
  std::shared_ptr<EndpointState>& state = this->endpoints[entry.id];
  if (!state || state->entry.address != entry.address ||
      state->entry.started_unix_ms != entry.started_unix_ms) {
    state = std::make_shared<EndpointState>();
    state->key = HashKey(entry.id);
    state->incarnation = HashKey(entry.id + '#' + std::to_string(entry.started_unix_ms));
    state->in_group = this->has_whole_group;
    ++this->list_version;
    this->by_key[state->key] = state;
    for (const auto& [peer, loads] : this->peers) {
      if (const auto load = loads.find(state->key); load != loads.end()) {
        AddPeerLoad(*state, load->second, 1);
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

void EndpointRegistry::SetGroup(const EndpointGroup& group) {
  this->has_whole_group = group.is_whole;
  for (const auto& [id, state] : this->endpoints) {
    const auto selected = group.shared_by.find(id);
    state->in_group = selected != group.shared_by.end();
    state->shared_by = state->in_group ? selected->second : 1;
    this->limits.SetSharedBy(state->incarnation, state->shared_by);
    if (!state->in_group) {
      this->limits.Forget(state->incarnation);
    }
  }
}

void EndpointRegistry::Prune(net::SteadyTime now) {
  this->outside_limits.Prune(now);
  std::erase_if(this->endpoints, [&](const auto& item) {
    const EndpointState& state = *item.second;
    const milliseconds memory = state.is_leaving ? kLeavingMemory : milliseconds(0);
    const bool expired =
        !state.listed && now >= state.usable_until + memory && state.OwnTotal() == 0;
    if (expired) {
      ++this->list_version;
      this->by_key.erase(state.key);
      this->limits.Forget(state.incarnation);
    }
    return expired;
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
    total -= kPreemptedBatchDiscount;
  }
  const double fill = (total + 1.0) / state.entry.slots;
  return fill * latency_ratio - (state.entry.zone == this->zone ? kZoneAdvantage : 0);
}

Choice EndpointRegistry::Choose(const ChoiceRequest& request, net::SteadyTime now) const {
  if (this->IsTooLarge(request)) {
    return {nullptr, NoChoice::kTooLarge, request.endpoint_memory};
  }
  const double median_latency_ms =
      this->IsPlacedByWork(request.service) ? 0 : this->MedianUnitLatency(request.service);
  Choice choice = this->ChooseAmong(request, Scope::kGroup, median_latency_ms, now);
  const bool may_leave_group = !this->has_whole_group && request.work == WorkClass::kOnline;
  if (choice.endpoint || !may_leave_group) {
    return choice;
  }
  Choice other = this->ChooseAmong(request, Scope::kOthers, median_latency_ms, now);
  return other.endpoint || choice.reason == NoChoice::kNoUsable ? other : choice;
}

std::optional<milliseconds> EndpointRegistry::PermitWait(const ChoiceRequest& request,
                                                         std::size_t waiting,
                                                         net::SteadyTime now) const {
  double rate = 0;
  for (const auto& [id, state] : this->endpoints) {
    const bool excluded =
        std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
    if (state->entry.service != request.service || !state->in_group || excluded ||
        !IsUsable(*state, now) || HealthOf(*state, now) == Health::kUnreachable) {
      continue;
    }
    const std::optional<double> own =
        this->limits.OwnRate(state->incarnation, HashKey(request.service), now);
    if (!own) {
      return std::nullopt;
    }
    rate += *own;
  }
  if (rate <= 0) {
    return std::nullopt;
  }
  const double seconds = static_cast<double>(waiting + 1) / rate;
  return std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
}

void EndpointRegistry::SetPeerLoadAge(milliseconds age) {
  this->peer_load_age = age;
  this->limits.SetNewsDelay(2 * age);
}

double EndpointRegistry::UnseenRequests(const ChoiceRequest& request, Scope scope,
                                        int shared_by) const {
  if (scope == Scope::kOthers) {
    return kUnseenOutsideGroup;
  }
  return shared_by * this->outliers.PeerRequestRate(request.service) *
         std::chrono::duration<double>(this->peer_load_age).count();
}

Choice EndpointRegistry::ChooseAmong(const ChoiceRequest& request, Scope scope,
                                     double median_latency_ms, net::SteadyTime now) const {
  const bool needs_healthy = request.work == WorkClass::kBatch || request.only_healthy;
  NoChoice reason = NoChoice::kNoUsable;
  std::optional<double> free_memory;
  Health best_health = Health::kUnreachable;
  bool any_reachable = false;
  std::vector<std::shared_ptr<EndpointState>> usable;
  std::vector<PlacementCandidate> candidates;
  std::vector<placement::WorkCandidate> by_work;
  std::size_t in_scope_count = 0;
  const bool is_by_work = this->IsPlacedByWork(request.service);
  for (const auto& [id, state] : this->endpoints) {
    const bool excluded =
        std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
    const bool in_scope =
        scope == Scope::kGroup ? state->in_group : !state->in_group && now >= state->full_until;
    const std::size_t rank = in_scope_count;
    if (state->entry.service == request.service && in_scope) {
      ++in_scope_count;
    }
    if (state->entry.service != request.service || !in_scope || excluded ||
        !IsUsable(*state, now)) {
      continue;
    }
    reason = NoChoice::kAllFull;
    const Health health = HealthOf(*state, now);
    any_reachable = any_reachable || health != Health::kUnreachable;
    placement::WorkCandidate expected;
    if (is_by_work) {
      expected = this->Expect(*state, request, now);
      expected.rank = rank;
    }
    const bool has_capacity = is_by_work
                                  ? HasSlot(*state, request, expected.in_flight)
                                  : HasCapacity(*state, request.work, EstimatedTotal(*state, now));
    if (!has_capacity || health < best_health || (health != Health::kHealthy && needs_healthy) ||
        !this->IsWithinLimit(*state, request, now)) {
      continue;
    }
    const double free = this->FreeMemory(*state, request);
    if (request.cost.memory_tokens > free) {
      free_memory = std::max(free_memory.value_or(0), free);
      continue;
    }
    if (health > best_health) {
      best_health = health;
      usable.clear();
      candidates.clear();
      by_work.clear();
    }
    usable.push_back(state);
    if (is_by_work) {
      by_work.push_back(expected);
      continue;
    }
    candidates.push_back(
        {this->Fill(*state, median_latency_ms, now), static_cast<double>(state->entry.slots)});
  }
  // Waiting for a slot at a reachable endpoint is better than trying an unreachable one.
  if (usable.empty() || (best_health == Health::kUnreachable && any_reachable)) {
    return {nullptr, reason, free_memory};
  }
  const double unseen = this->UnseenRequests(request, scope, usable.front()->shared_by);
  if (is_by_work) {
    return {usable[this->ChooseByWork(by_work, in_scope_count, unseen)], NoChoice::kChosen};
  }
  return {usable[Placement::Choose(candidates, unseen, this->draw())], NoChoice::kChosen};
}

void EndpointRegistry::AddPeerLoad(const PeerLoads& loads, int sign) {
  for (const auto& [key, load] : loads) {
    const auto found = this->by_key.find(key);
    if (found != this->by_key.end()) {
      AddPeerLoad(*found->second, load, sign);
    }
  }
}

void EndpointRegistry::SetPeerLoad(const std::string& peer, const std::vector<EndpointLoad>& loads,
                                   net::SteadyTime now) {
  PeerLoads& stored = this->peers[peer];
  this->AddPeerLoad(stored, -1);
  stored.clear();
  this->peer_names.insert(peer);
  for (const EndpointLoad& load : loads) {
    stored[load.endpoint_key] = this->WithWork(load, now);
  }
  this->AddPeerLoad(stored, 1);
  if (stored.empty()) {
    this->peers.erase(peer);
  }
}

void EndpointRegistry::RemovePeer(const std::string& peer) {
  this->peer_names.erase(peer);
  const auto stored = this->peers.find(peer);
  if (stored != this->peers.end()) {
    this->AddPeerLoad(stored->second, -1);
    this->peers.erase(stored);
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

std::vector<EndpointLoad> EndpointRegistry::OwnLoads(net::SteadyTime now) const {
  std::vector<EndpointLoad> loads;
  for (const auto& [id, state] : this->endpoints) {
    if (state->OwnTotal() > 0) {
      loads.push_back({state->key, state->own_online, state->own_batch});
      if (this->IsPlacedByWork(state->entry.service)) {
        loads.back().work = state->work.ForPeers(now);
      }
    }
  }
  return loads;
}

int EndpointRegistry::BatchYieldingBefore(const std::string& name,
                                          std::uint32_t endpoint_key) const {
  int count = 0;
  for (auto peer = this->peers.upper_bound(name); peer != this->peers.end(); ++peer) {
    if (const auto load = peer->second.find(endpoint_key); load != peer->second.end()) {
      count += load->second.batch;
    }
  }
  return count;
}

int EndpointRegistry::BatchToYield(const EndpointState& state, int batch_yielding_before,
                                   net::SteadyTime now) {
  const int excess = EstimatedTotal(state, now) - state.entry.slots - batch_yielding_before;
  return std::clamp(excess, 0, state.own_batch);
}

std::vector<std::string> EndpointRegistry::PeersThatMustYield(const EndpointState& state,
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

std::size_t EndpointRegistry::GroupSlots(const std::string& service) const {
  std::size_t slots = 0;
  for (const auto& [id, state] : this->endpoints) {
    if (state->entry.service == service && state->in_group && state->listed) {
      slots += static_cast<std::size_t>(std::max(0, state->entry.slots));
    }
  }
  return slots;
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
