#include "gateway/part_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "net/log_line.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kBegunWeight = 2;       // the answer had begun
constexpr int kUnansweredWeight = 1;  // the request may still have waited
// Weight of the ends under which a part is held: two requests whose answers had begun.
constexpr int kHoldWeight = 4;
// A part that was answered before is shared by sound requests, which many ends hit by chance.
constexpr int kHoldAnsweredWeight = 12;
// A single request may hit several ends by chance, as it is sent again after each.
constexpr int kHoldSingleRequestWeight = 6;
// Endpoints that end within this time may have a common cause, such as a rack.
constexpr milliseconds kCommonCauseSpan{50};
// Longer than it takes another such request to end its endpoint and the nodes to hear of it.
constexpr milliseconds kSuspectPause{300};
// Ends that are further apart are chance.
constexpr seconds kEndLifetime{60};
// Answers are repeated to other nodes for this long.
constexpr seconds kAnswerLifetime{10};
constexpr seconds kHoldLifetime{1800};  // since the last end or probe
constexpr seconds kFirstProbeDelay{10};
constexpr int kProbeBackoff = 4;
constexpr int kMaxProbeExponent = 3;
// A request with the part may not come at the node whose turn it is.
constexpr seconds kProbeTurn{2};
constexpr std::size_t kMaxSuspects = 256;

std::uint32_t KeyOf(const std::string& request_id) {
  return XXH32(request_id.data(), request_id.size(), 0);
}

/// The keys in the order of their depth; an item's own key is the deepest.
std::vector<PartKey> AllOf(const PromptKeys& keys) {
  std::vector<PartKey> all = keys.shared;
  if (keys.own) {
    all.push_back(*keys.own);
  }
  return all;
}

milliseconds AgeOf(net::SteadyTime time, net::SteadyTime now) {
  return std::max(milliseconds(0), net::ToMilliseconds(now - time));
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

PartQuarantine::Suspicion PartQuarantine::Weigh(const Suspect& suspect,
                                                const std::set<std::uint32_t>& explained) {
  Suspicion suspicion;
  std::set<std::uint32_t> requests;
  net::SteadyTime group_start;
  int group_weight = 0;
  for (const TimedEnd& end : suspect.ends) {
    if (explained.contains(end.endpoint)) {
      continue;
    }
    requests.insert(end.request);
    if (group_weight == 0 || end.at - group_start > kCommonCauseSpan) {
      suspicion.weight += group_weight;
      group_start = end.at;
      group_weight = 0;
    }
    group_weight = std::max(group_weight, end.weight);
  }
  suspicion.weight += group_weight;
  suspicion.requests = requests.size();
  return suspicion;
}

bool PartQuarantine::IsBlamed(const Suspect& suspect, const Suspicion& suspicion) {
  if (suspect.last_answer != net::SteadyTime{}) {
    return suspicion.weight >= kHoldAnsweredWeight;
  }
  return suspicion.weight >= (suspicion.requests > 1 ? kHoldWeight : kHoldSingleRequestWeight);
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
  const int weight = end.stage == AttemptStage::kBegun ? kBegunWeight : kUnansweredWeight;
  int depth = 0;
  for (const PartKey part : AllOf(end.keys)) {
    Suspect& suspect = this->SuspectOf(part, depth++);
    if (AddEnd(suspect, {end.endpoint, KeyOf(end.request_id), weight, now})) {
      this->NoteChange();
    }
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
      end.stage == AttemptStage::kBegun && std::ranges::any_of(AllOf(end.keys), is_suspected);
  return waits ? kSuspectPause : milliseconds(0);
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

std::vector<PartEvidence> PartQuarantine::Evidence(net::SteadyTime now) const {
  std::vector<const Suspects::value_type*> order;
  for (const auto& entry : this->suspects) {
    order.push_back(&entry);
  }
  std::ranges::sort(order, [this](const auto* left, const auto* right) {
    const bool left_held = this->held.contains(left->first);
    const bool right_held = this->held.contains(right->first);
    return left_held != right_held ? left_held
                                   : left->second.last_changed > right->second.last_changed;
  });
  order.resize(std::min(order.size(), kMaxSharedEvidence));
  std::vector<PartEvidence> evidence;
  for (const auto* entry : order) {
    const Suspect& suspect = entry->second;
    PartEvidence& shared = evidence.emplace_back();
    shared.part = entry->first;
    shared.depth = suspect.depth;
    for (const TimedEnd& end : suspect.ends) {
      shared.ends.push_back({end.endpoint, end.request, end.weight, AgeOf(end.at, now)});
    }
    if (suspect.last_answer != net::SteadyTime{}) {
      shared.answer_age = AgeOf(suspect.last_answer, now);
    }
    shared.probes = suspect.probes;
    shared.probe_age = AgeOf(suspect.last_probe, now);
  }
  return evidence;
}

bool PartQuarantine::MergeOne(const PartEvidence& evidence, net::SteadyTime now) {
  const bool is_known = this->suspects.contains(evidence.part);
  if (!is_known && evidence.ends.empty()) {
    return false;
  }
  Suspect& suspect = this->SuspectOf(evidence.part, evidence.depth);
  bool changed = false;
  if (evidence.answer_age) {
    const net::SteadyTime at = now - std::max(*evidence.answer_age, milliseconds(0));
    changed = suspect.last_answer == net::SteadyTime{};
    this->NoteAnswer(evidence.part, at, now);
  }
  for (const PartEnd& end : evidence.ends) {
    const int weight = std::clamp(end.weight, kUnansweredWeight, kBegunWeight);
    const milliseconds age = std::max(end.age, milliseconds(0));
    changed = AddEnd(suspect, {end.endpoint, end.request, weight, now - age}) || changed;
  }
  if (evidence.probes > suspect.probes) {
    suspect.probes = evidence.probes;
    suspect.last_probe = now - std::max(evidence.probe_age, milliseconds(0));
    suspect.last_changed = std::max(suspect.last_changed, suspect.last_probe);
    changed = true;
  }
  return changed;
}

void PartQuarantine::Merge(const std::vector<PartEvidence>& evidence, net::SteadyTime now) {
  bool changed = false;
  for (const PartEvidence& one : evidence) {
    changed = this->MergeOne(one, now) || changed;
  }
  if (!changed) {
    return;
  }
  this->NoteChange();
  this->MakeRoom();
  this->UpdateHeld(now);
}

const PartQuarantine::Suspects::value_type* PartQuarantine::NextToBlame(
    const std::set<PartKey>& blamed, const std::set<std::uint32_t>& explained) const {
  const Suspects::value_type* next = nullptr;
  int next_weight = 0;
  for (const auto& entry : this->suspects) {
    const Suspect& suspect = entry.second;
    const Suspicion suspicion = Weigh(suspect, explained);
    if (blamed.contains(entry.first) || !IsBlamed(suspect, suspicion)) {
      continue;
    }
    const bool comes_first =
        next == nullptr || suspect.depth > next->second.depth ||
        (suspect.depth == next->second.depth && suspicion.weight > next_weight);
    if (comes_first) {
      next = &entry;
      next_weight = suspicion.weight;
    }
  }
  return next;
}

void PartQuarantine::UpdateHeld(net::SteadyTime now) {
  std::set<PartKey> blamed;
  std::set<std::uint32_t> explained;
  while (const Suspects::value_type* next = this->NextToBlame(blamed, explained)) {
    blamed.insert(next->first);
    for (const TimedEnd& end : next->second.ends) {
      explained.insert(end.endpoint);
    }
  }
  const std::set<PartKey> before = std::exchange(this->held, std::move(blamed));
  for (const PartKey part : this->held) {
    if (!before.contains(part)) {
      this->LogHeld(part, now);
    }
  }
  for (const PartKey part : before) {
    if (!this->held.contains(part)) {
      net::LogLine("part_released").With("part", FormatPartKey(part));
    }
  }
}

void PartQuarantine::LogHeld(PartKey part, net::SteadyTime now) const {
  const Suspect& suspect = this->suspects.at(part);
  const bool was_answered = suspect.last_answer != net::SteadyTime{};
  net::LogLine("part_held")
      .With("part", FormatPartKey(part))
      .With("depth", suspect.depth)
      .With("ends", suspect.ends.size())
      .With("first_end_ms", AgeOf(suspect.ends.front().at, now).count())
      .With("last_answer_ms", was_answered ? AgeOf(suspect.last_answer, now).count() : -1)
      .With("probes", suspect.probes);
}

void PartQuarantine::MakeRoom() {
  while (this->suspects.size() > kMaxSuspects) {
    const auto oldest = std::ranges::min_element(this->suspects, {}, [this](const auto& entry) {
      return std::pair(this->held.contains(entry.first), entry.second.last_changed);
    });
    this->suspects.erase(oldest);
  }
}

void PartQuarantine::Prune(net::SteadyTime now) {
  const std::size_t before = this->suspects.size();
  for (auto& [part, suspect] : this->suspects) {
    if (!this->held.contains(part)) {
      std::erase_if(suspect.ends,
                    [now](const TimedEnd& end) { return now - end.at >= kEndLifetime; });
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
