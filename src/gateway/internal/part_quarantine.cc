#include "gateway/part_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gateway/internal/age.h"
#include "gateway/types/end_weight.h"
#include "net/log_line.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than it takes another such request to end its endpoint and the nodes to hear of it.
constexpr milliseconds kSuspectPause{300};
// Requests that waited for the same evidence go on one after the other.
constexpr milliseconds kMaxStagger{300};
// Ends under one part that are further apart are chance.
constexpr seconds kEndLifetime{60};
// The same request may come once a minute.
constexpr seconds kRequestEndLifetime{1800};
// Answers are repeated to other nodes for this long.
constexpr seconds kAnswerLifetime{10};
constexpr seconds kHoldLifetime{7200};  // since the last end or probe; longer than any distance
constexpr seconds kFirstProbeDelay{10};
constexpr int kProbeBackoff = 4;
constexpr int kMaxProbeExponent = 4;
// A request with the part may not come at the node whose turn it is.
constexpr seconds kProbeTurn{2};
constexpr std::size_t kMaxSuspects = 1024;

std::uint32_t KeyOf(const std::string& request_id) {
  return XXH32(request_id.data(), request_id.size(), 0);
}

int WeightOf(const RequestEnd& end) {
  if (!end.is_certain) {
    return EndWeight::kUncertain;
  }
  return end.stage == AttemptStage::kBegun ? EndWeight::kBegun : EndWeight::kUnanswered;
}

/// The keys in the order of their depth; that of the whole request is the deepest.
std::vector<PartKey> AllOf(const PromptKeys& keys) {
  std::vector<PartKey> all = keys.shared;
  if (keys.own) {
    all.push_back(*keys.own);
  }
  return all;
}

}  // namespace

void PartQuarantine::NoteChange() {
  ++this->version;
  if (this->on_change) {
    this->on_change();
  }
}

bool PartQuarantine::AddEnd(Suspect& suspect, const TimedEnd& end) {
  if (end.at < suspect.last_answer) {
    return false;
  }
  const auto same = std::ranges::find(suspect.ends, end.endpoint, &TimedEnd::endpoint);
  if (same != suspect.ends.end()) {
    const bool is_stronger = end.weight > same->weight;
    same->weight = std::max(same->weight, end.weight);
    return is_stronger;
  }
  if (suspect.ends.size() >= kMaxEnds && end.at <= suspect.ends.front().at) {
    return false;
  }
  suspect.ends.insert(std::ranges::upper_bound(suspect.ends, end.at, {}, &TimedEnd::at), end);
  if (suspect.ends.size() > kMaxEnds) {
    suspect.ends.erase(suspect.ends.begin());
  }
  suspect.last_changed = std::max(suspect.last_changed, end.at);
  return true;
}

net::SteadyTime PartQuarantine::ProbeDue(const Suspect& suspect) {
  int factor = 1;
  for (int step = 0; step < std::min(suspect.probes, kMaxProbeExponent); ++step) {
    factor *= kProbeBackoff;
  }
  return suspect.last_changed + factor * kFirstProbeDelay;
}

PartQuarantine::Suspect& PartQuarantine::SuspectOf(PartKey part, int depth) {
  const auto [found, is_new] = this->suspects.try_emplace(part);
  Suspect& suspect = found->second;
  suspect.depth = std::max(suspect.depth, depth);
  if (is_new) {
    suspect.last_answer = this->answered.LastAnswer(part).value_or(net::SteadyTime{});
  }
  return suspect;
}

void PartQuarantine::NoteAnswer(PartKey part, net::SteadyTime at, net::SteadyTime now) {
  const auto found = this->suspects.find(part);
  if (found == this->suspects.end()) {
    return;
  }
  Suspect& suspect = found->second;
  const bool ends_suspicion = !suspect.ends.empty() && suspect.ends.front().at <= at;
  suspect.last_answer = std::max(suspect.last_answer, at);
  if (!ends_suspicion) {
    return;
  }
  std::erase_if(suspect.ends, [at](const TimedEnd& end) { return end.at <= at; });
  suspect.probes = 0;
  suspect.last_changed = now;
  this->NoteChange();
  this->UpdateHeld(now);
}

void PartQuarantine::RecordAnswer(const PromptKeys& keys, net::SteadyTime now) {
  for (const PartKey part : keys.shared) {
    this->answered.Record(part, now);
  }
  for (const PartKey part : AllOf(keys)) {
    this->NoteAnswer(part, now, now);
  }
}

void PartQuarantine::RecordEnd(const RequestEnd& end, net::SteadyTime now) {
  const TimedEnd timed{end.endpoint, KeyOf(end.request_id), WeightOf(end), now};
  int depth = 0;
  bool changed = false;
  for (const PartKey part : end.keys.shared) {
    changed = AddEnd(this->SuspectOf(part, depth++), timed) || changed;
  }
  if (end.keys.own) {
    changed = AddEnd(this->SuspectOf(*end.keys.own, PartEvidence::kWholeRequest), timed) || changed;
  }
  if (changed) {
    this->NoteChange();
  }
  this->MakeRoom();
  this->UpdateHeld(now);
}

milliseconds PartQuarantine::PauseBeforeRetry(const RequestEnd& end) const {
  const auto is_suspected = [this](PartKey part) {
    const auto found = this->suspects.find(part);
    return found != this->suspects.end() && found->second.last_answer == net::SteadyTime{};
  };
  const bool waits =
      end.stage == AttemptStage::kBegun && std::ranges::any_of(end.keys.shared, is_suspected);
  return waits ? kSuspectPause : milliseconds(0);
}

milliseconds PartQuarantine::PauseBeforeSend(const PromptKeys& keys, const std::string& request_id,
                                             net::SteadyTime now) const {
  const auto found = keys.own ? this->suspects.find(*keys.own) : this->suspects.end();
  const std::uint32_t own_id = KeyOf(request_id);
  if (found == this->suspects.end() || this->held.contains(found->first)) {
    return milliseconds(0);
  }
  // The request that lost its endpoint first goes on, so that it finds out for all others.
  if (found->second.ends.empty() || found->second.ends.front().request == own_id) {
    return milliseconds(0);
  }
  const milliseconds pause = kSuspectPause + milliseconds(own_id) % kMaxStagger;
  net::SteadyTime until = now;
  for (const TimedEnd& end : found->second.ends) {
    if (end.weight > EndWeight::kUncertain) {
      until = std::max(until, end.at + pause);
    }
  }
  return net::ToMilliseconds(until - now);
}

bool PartQuarantine::MaySendAgain(const RequestEnd& end) const {
  const auto found = end.keys.own ? this->suspects.find(*end.keys.own) : this->suspects.end();
  if (found == this->suspects.end()) {
    return true;
  }
  return !this->held.contains(found->first) &&
         Weigh(found->second, this->EndpointsExplained()).times < kMinTimes;
}

bool PartQuarantine::HasTurn(PartKey part, std::chrono::nanoseconds since_due) const {
  return !this->is_own_turn ||
         this->is_own_turn(part, static_cast<std::uint64_t>(since_due / kProbeTurn));
}

PartVerdict PartQuarantine::Check(const PromptKeys& keys, net::SteadyTime now) const {
  PartVerdict verdict = PartsAllowed{};
  if (this->held.empty()) {
    return verdict;
  }
  for (const PartKey part : AllOf(keys)) {
    if (!this->held.contains(part)) {
      continue;
    }
    const net::SteadyTime due = ProbeDue(this->suspects.at(part));
    if (now < due || !this->HasTurn(part, now - due)) {
      return PartHeld{part, std::max<milliseconds>(kProbeTurn, net::ToMilliseconds(due - now))};
    }
    verdict = PartProbe{part};
  }
  return verdict;
}

void PartQuarantine::RecordProbe(PartKey part, net::SteadyTime now) {
  const auto found = this->suspects.find(part);
  if (found == this->suspects.end()) {
    return;
  }
  Suspect& suspect = found->second;
  ++suspect.probes;
  suspect.last_probe = now;
  suspect.last_changed = now;
  this->NoteChange();
  net::LogLine("part_probed").With("part", FormatPartKey(part)).With("probes", suspect.probes);
}

void PartQuarantine::MakeRoom() {
  while (this->suspects.size() > kMaxSuspects) {
    const auto least = std::ranges::min_element(this->suspects, {}, [this](const auto& entry) {
      const bool is_repeated = entry.second.ends.size() >= kMinTimes;
      return std::tuple(this->held.contains(entry.first), is_repeated, entry.second.last_changed);
    });
    this->suspects.erase(least);
  }
}

void PartQuarantine::Prune(net::SteadyTime now) {
  const std::size_t before = this->suspects.size();
  for (auto& [part, suspect] : this->suspects) {
    if (!this->held.contains(part)) {
      const seconds lifetime = suspect.IsRequest() ? kRequestEndLifetime : kEndLifetime;
      std::erase_if(suspect.ends, [=](const TimedEnd& end) { return now - end.at >= lifetime; });
    }
  }
  std::erase_if(this->suspects, [this, now](const auto& entry) {
    const Suspect& suspect = entry.second;
    const auto lifetime = this->held.contains(entry.first) ? kHoldLifetime : kAnswerLifetime;
    const bool has_evidence = !suspect.ends.empty() && !this->held.contains(entry.first);
    return !has_evidence && now - suspect.last_changed >= lifetime;
  });
  if (this->suspects.size() != before) {
    this->NoteChange();
    this->UpdateHeld(now);
  }
}

}  // namespace lentilhead::gateway
