#include "relay/cut_evidence.h"

#include <algorithm>
#include <utility>

namespace lentilhead::relay {

namespace {

using std::chrono::milliseconds;

// A failure by time limit arrives this long after the success that was begun beside it, at most.
constexpr milliseconds kPairSpan{400};
// A connection whose failure took longer was delayed by a stall of this process.
constexpr milliseconds kMaxAttemptTime{400};
// One contradiction may be a lost packet; two, an endpoint that restarts between the two attempts.
// An endpoint that accepts every other connection gives seven in a row with a probability of
// 0.00006.
constexpr int kEndpointContradictions = 7;
// For an endpoint that recently failed on both paths or was reached soon after a failure.
constexpr int kUnsoundContradictions = 12;
constexpr milliseconds kUnsoundMemory{10000};
// Of a zone, over at least kZoneEndpoints of its endpoints; each counts with two at most.
constexpr int kZoneContradictions = 5;
constexpr int kMaxPerEndpoint = 2;
constexpr std::size_t kZoneEndpoints = 4;
constexpr milliseconds kContradictionLifetime{1500};
constexpr std::size_t kDoubtfulEndpoints = 2;
constexpr milliseconds kDoubtLifetime{1000};
constexpr milliseconds kSuspicion{2000};
// Two probes that are begun together end within this time of each other if both reach the endpoint.
constexpr milliseconds kBothReachedSpan{100};
constexpr milliseconds kMinProbePause{50};
// An endpoint that was just reached but is silent is probed less often, as it is most likely slow.
constexpr milliseconds kReachedPause{200};
constexpr milliseconds kMaxProbePause{800};
constexpr milliseconds kSoundProbePause{300};  // of the endpoints that suspects are compared with
constexpr milliseconds kCutProbePause{300};    // the direct path is used again within a second
// Bounds on the probes of one call; calls come twenty times a second.
constexpr std::size_t kMaxSuspectProbes = 4;
constexpr std::size_t kMaxCutProbes = 3;
constexpr milliseconds kIsolationSpan{300};
constexpr milliseconds kFailureLifetime{1200};
// Below this number of endpoints each is tried; trying them takes no longer than callers wait.
constexpr std::size_t kMinIsolatedEndpoints = 3;
constexpr std::size_t kMaxIsolatedEndpoints = 8;

}  // namespace

void CutEvidence::SetTargets(const std::vector<Target>& targets) {
  std::map<Key, State> kept;
  std::map<std::string, Zone> kept_zones;
  for (const Target& target : targets) {
    const auto known = this->states.find(target.key);
    State state = known == this->states.end() ? State() : std::move(known->second);
    state.zone = target.zone;
    kept[target.key] = std::move(state);
    if (!kept_zones.contains(target.zone)) {
      kept_zones[target.zone] = this->zones[target.zone];
      kept_zones[target.zone].size = 0;
    }
    ++kept_zones[target.zone].size;
  }
  this->states = std::move(kept);
  this->zones = std::move(kept_zones);
  std::erase_if(this->doubtful, [&](Key key) { return !this->states.contains(key); });
}

void CutEvidence::ForgetContradictions(State& state, net::SteadyTime now) {
  const bool has_just_failed =
      state.failed_at != net::SteadyTime{} && now - state.failed_at < kSuspicion;
  if (state.contradictions > 0 || has_just_failed) {
    state.unsound_at = now;
  }
  state.contradictions = 0;
  state.open_failure.reset();
  state.open_success.reset();
}

void CutEvidence::RecordDirect(Key key, bool reached, net::SteadyTime started,
                               net::SteadyTime now) {
  const auto found = this->states.find(key);
  if (found == this->states.end()) {
    return;
  }
  State& state = found->second;
  if (!reached) {
    if (started < state.reached_at || now - started > kMaxAttemptTime) {
      return;
    }
    state.failed_at = now;
    state.open_failure = now;
    this->doubtful.insert(key);
    this->PairUp(key, state, now);
    return;
  }
  state.reached_at = now;
  this->reached_at = now;
  state.suspected_at = {};
  state.probe_pause = milliseconds(0);
  Zone& zone = this->zones[state.zone];
  zone.reached_at = now;
  if (zone.is_cut) {
    this->EndZone(state.zone, zone, now);
  }
  if (state.is_cut) {
    state.is_cut = false;
    state.contradictions = 0;
    state.failed_at = {};
    this->changes.push_back({BeliefChange::Scope::kEndpoint, key, state.zone, false, 0, 1,
                             net::ToMilliseconds(now - state.cut_since)});
  }
  this->ForgetContradictions(state, now);
  this->doubtful.erase(key);
  this->JudgeAll(now);
}

void CutEvidence::RecordThroughPeer(Key key, bool reached, net::SteadyTime now) {
  const auto found = this->states.find(key);
  if (found == this->states.end()) {
    return;
  }
  State& state = found->second;
  if (!reached) {
    // The endpoint is down for others, too, or the peer is cut off as well.
    this->ForgetContradictions(state, now);
    state.probe_pause = std::clamp(2 * state.probe_pause, kMinProbePause, kMaxProbePause);
    return;
  }
  state.peer_reached_at = now;
  state.open_success = now;
  this->last_answer = now;
  this->PairUp(key, state, now);
}

void CutEvidence::RecordSilence(Key key, net::SteadyTime now) {
  if (const auto found = this->states.find(key); found != this->states.end()) {
    found->second.suspected_at = now;
    this->doubtful.insert(key);
  }
}

void CutEvidence::RecordLoss(Key key, net::SteadyTime now) {
  this->RecordSilence(key, now);
  if (const auto found = this->states.find(key); found != this->states.end()) {
    found->second.lost_at = now;
  }
}

void CutEvidence::PairUp(Key key, State& state, net::SteadyTime now) {
  if (!state.open_failure || !state.open_success) {
    return;
  }
  const auto apart = *state.open_failure > *state.open_success
                         ? *state.open_failure - *state.open_success
                         : *state.open_success - *state.open_failure;
  if (apart > kPairSpan) {
    return;
  }
  state.open_failure.reset();
  state.open_success.reset();
  if (state.contradictions == 0 || now - state.last_contradiction > kContradictionLifetime) {
    state.contradictions = 0;
    state.first_contradiction = now;
  }
  ++state.contradictions;
  state.last_contradiction = now;
  state.suspected_at = now;
  state.probe_pause = kMinProbePause;
  this->doubtful.insert(key);
  this->JudgeEndpoint(key, state, now);
  this->JudgeZone(state.zone, now);
  this->JudgeAll(now);
}

void CutEvidence::JudgeEndpoint(Key key, State& state, net::SteadyTime now) {
  const bool unsound =
      state.unsound_at != net::SteadyTime{} && now - state.unsound_at < kUnsoundMemory;
  const int needed = unsound ? kUnsoundContradictions : kEndpointContradictions;
  if (state.is_cut || state.contradictions < needed) {
    return;
  }
  state.is_cut = true;
  state.cut_since = state.first_contradiction;
  this->changes.push_back({BeliefChange::Scope::kEndpoint, key, state.zone, true,
                           state.contradictions, 1, net::ToMilliseconds(now - state.cut_since)});
}

void CutEvidence::JudgeZone(const std::string& name, net::SteadyTime now) {
  Zone& zone = this->zones[name];
  if (zone.is_cut || zone.size < 2) {
    return;
  }
  int contradictions = 0;
  std::size_t endpoints = 0;
  net::SteadyTime since = now;
  for (const Key key : this->doubtful) {
    const State& state = this->states.at(key);
    const bool counts = state.zone == name && state.contradictions > 0 &&
                        state.first_contradiction > zone.reached_at &&
                        now - state.last_contradiction < kContradictionLifetime;
    if (counts) {
      contradictions += std::min(state.contradictions, kMaxPerEndpoint);
      ++endpoints;
      since = std::min(since, state.first_contradiction);
    }
  }
  const std::size_t needed_endpoints = std::min(kZoneEndpoints, zone.size);
  const int needed = std::min(kZoneContradictions, kMaxPerEndpoint * static_cast<int>(zone.size));
  if (contradictions < needed || endpoints < needed_endpoints) {
    return;
  }
  zone.is_cut = true;
  zone.cut_since = since;
  this->changes.push_back({BeliefChange::Scope::kZone, 0, name, true, contradictions,
                           static_cast<int>(endpoints), net::ToMilliseconds(now - since)});
}

void CutEvidence::EndZone(const std::string& name, Zone& zone, net::SteadyTime now) {
  zone.is_cut = false;
  for (auto& [key, state] : this->states) {
    if (state.zone == name) {
      state.is_cut = false;
      state.contradictions = 0;
      state.failed_at = {};
      state.open_failure.reset();
      state.open_success.reset();
    }
  }
  this->changes.push_back({BeliefChange::Scope::kZone, 0, name, false, 0,
                           static_cast<int>(zone.size), net::ToMilliseconds(now - zone.cut_since)});
}

void CutEvidence::JudgeAll(net::SteadyTime now) {
  const bool all = !this->zones.empty() && this->IsCutOffFromAll();
  if (all == this->is_cut_from_all) {
    return;
  }
  this->is_cut_from_all = all;
  if (all) {
    this->cut_from_all_since = now;
  }
  this->changes.push_back(
      {BeliefChange::Scope::kAll, 0, "", all, 0, static_cast<int>(this->states.size()),
       all ? milliseconds(0) : net::ToMilliseconds(now - this->cut_from_all_since)});
}

bool CutEvidence::IsCutOff(Key key) const {
  const auto found = this->states.find(key);
  return found != this->states.end() &&
         (found->second.is_cut || this->zones.at(found->second.zone).is_cut);
}

bool CutEvidence::IsCutOffFromAll() const {
  return !this->states.empty() && std::ranges::all_of(this->states, [&](const auto& item) {
    return item.second.is_cut || this->zones.at(item.second.zone).is_cut;
  });
}

std::size_t CutEvidence::CutOffCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(this->states, [&](const auto& item) {
    return item.second.is_cut || this->zones.at(item.second.zone).is_cut;
  }));
}

bool CutEvidence::IsSuspect(const State& state, net::SteadyTime now) {
  return state.suspected_at != net::SteadyTime{} && now - state.suspected_at < kSuspicion;
}

bool CutEvidence::IsScopeDoubtful(const std::string& zone, net::SteadyTime scope_reached_at,
                                  net::SteadyTime now) const {
  return static_cast<std::size_t>(std::ranges::count_if(this->doubtful, [&](Key key) {
           const State& state = this->states.at(key);
           return (zone.empty() || state.zone == zone) && state.contradictions > 0 &&
                  state.first_contradiction > scope_reached_at &&
                  now - state.last_contradiction < kDoubtLifetime;
         })) >= kDoubtfulEndpoints;
}

Path CutEvidence::PathTo(Key key, net::SteadyTime now) const {
  const auto found = this->states.find(key);
  if (found == this->states.end()) {
    return Path::kDirect;
  }
  const State& state = found->second;
  const Zone& zone = this->zones.at(state.zone);
  if (state.is_cut || zone.is_cut) {
    return Path::kPeer;
  }
  if (this->doubtful.empty()) {
    return Path::kDirect;
  }
  const bool is_doubtful =
      (state.contradictions > 0 && now - state.last_contradiction < kDoubtLifetime) ||
      this->IsScopeDoubtful("", this->reached_at, now) ||
      this->IsScopeDoubtful(state.zone, zone.reached_at, now);
  return is_doubtful ? Path::kPeer : Path::kDirect;
}

bool CutEvidence::ExcusesFailure(Key key, net::SteadyTime now) const {
  const auto found = this->states.find(key);
  if (found == this->states.end()) {
    return false;
  }
  const State& state = found->second;
  // Where both paths work, a loss says as much of the endpoint as ever.
  const bool only_peer_reached = state.peer_reached_at != net::SteadyTime{} &&
                                 state.peer_reached_at > state.reached_at + kBothReachedSpan;
  return this->PathTo(key, now) == Path::kPeer ||
         (only_peer_reached && now - state.peer_reached_at < kDoubtLifetime);
}

bool CutEvidence::IsIsolated(net::SteadyTime now) const {
  const std::size_t listed = this->states.size();
  const net::SteadyTime reached = std::max(this->reached_at, this->last_answer);
  if (listed < kMinIsolatedEndpoints || now - reached < kIsolationSpan) {
    return false;
  }
  const auto failed = static_cast<std::size_t>(std::ranges::count_if(this->doubtful, [&](Key key) {
    const State& state = this->states.at(key);
    return state.failed_at > reached && now - state.failed_at < kFailureLifetime;
  }));
  return failed >= std::min(kMaxIsolatedEndpoints, listed);
}

void CutEvidence::AddCutProbes(std::vector<DueProbe>& probes, net::SteadyTime now) {
  std::vector<std::pair<net::SteadyTime, Key>> due;
  for (const auto& [key, state] : this->states) {
    const bool is_cut = state.is_cut || this->zones.at(state.zone).is_cut;
    if (is_cut && now - state.probed_at >= kCutProbePause) {
      due.emplace_back(state.probed_at, key);
    }
  }
  const std::size_t count = std::min(kMaxCutProbes, due.size());
  std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end());
  for (std::size_t index = 0; index < count; ++index) {
    this->states[due[index].second].probed_at = now;
    probes.push_back({due[index].second, false});
  }
}

void CutEvidence::AddComparisons(std::vector<DueProbe>& probes,
                                 const std::optional<std::string>& zone, double random,
                                 net::SteadyTime now) {
  if (this->states.empty()) {
    return;
  }
  const auto size = static_cast<double>(this->states.size());
  auto at = std::next(this->states.begin(),
                      static_cast<std::ptrdiff_t>(std::min(random * size, size - 1)));
  for (std::size_t seen = 0; seen < this->states.size(); ++seen) {
    State& state = at->second;
    const bool is_due = now - state.probed_at >= kSoundProbePause;
    if (is_due && (!zone || state.zone == *zone) && !this->IsCutOff(at->first)) {
      state.probed_at = now;
      probes.push_back({at->first, true});
      return;
    }
    if (++at == this->states.end()) {
      at = this->states.begin();
    }
  }
}

void CutEvidence::AddSuspects(std::vector<DueProbe>& probes, net::SteadyTime now) {
  const bool isolated = this->IsIsolated(now);
  std::vector<std::pair<net::SteadyTime, Key>> due;
  for (const Key key : this->doubtful) {
    const State& state = this->states.at(key);
    const bool was_reached = state.reached_at != net::SteadyTime{} &&
                             state.reached_at >= state.lost_at &&
                             now - state.reached_at < kReachedPause;
    const bool is_due = now - state.probed_at >= std::max(kMinProbePause, state.probe_pause);
    if (is_due && !was_reached && !this->IsCutOff(key) && (isolated || IsSuspect(state, now))) {
      due.emplace_back(state.probed_at, key);
    }
  }
  const std::size_t count = std::min(kMaxSuspectProbes, due.size());
  std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end());
  for (std::size_t index = 0; index < count; ++index) {
    this->states[due[index].second].probed_at = now;
    probes.push_back({due[index].second, true});
  }
}

void CutEvidence::KeepWithin(std::size_t most, std::vector<DueProbe>& probes) {
  std::size_t connections = 0;
  const auto first_beyond = std::ranges::find_if(probes, [&](const DueProbe& probe) {
    connections += probe.through_peer ? 2 : 1;
    return connections > most;
  });
  for (auto probe = first_beyond; probe != probes.end(); ++probe) {
    this->states[probe->key].probed_at = {};
  }
  probes.erase(first_beyond, probes.end());
}

std::vector<DueProbe> CutEvidence::TakeDueProbes(double random, std::size_t most,
                                                 net::SteadyTime now) {
  std::vector<DueProbe> probes;
  std::erase_if(this->doubtful, [&](Key key) {
    const State& state = this->states.at(key);
    return !IsSuspect(state, now) && now - state.failed_at >= kSuspicion;
  });
  std::optional<std::string> doubtful_zone;
  for (const Key key : this->doubtful) {
    const State& state = this->states.at(key);
    if (state.contradictions > 0 && !this->IsCutOff(key)) {
      doubtful_zone = state.zone;
    }
  }
  this->AddSuspects(probes, now);
  if (doubtful_zone || this->IsIsolated(now)) {
    this->AddComparisons(probes, doubtful_zone, random, now);
    this->AddComparisons(probes, std::nullopt, random, now);
  }
  this->AddCutProbes(probes, now);
  this->KeepWithin(most, probes);
  return probes;
}

std::vector<BeliefChange> CutEvidence::TakeChanges() { return std::exchange(this->changes, {}); }

}  // namespace lentilhead::relay
