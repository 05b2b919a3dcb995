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

constexpr int kBegunWeight = EndWeight::kMax;  // the answer had begun
constexpr int kUnansweredWeight = 2;           // the request may still have waited
// Weight of the ends under which a part is held: two requests whose answers had begun.
constexpr int kHoldWeight = 2 * kBegunWeight;
// A part that was answered before is shared by sound requests, which many ends hit by chance.
constexpr int kHoldAnsweredWeight = 6 * kBegunWeight;
// A single request may hit several ends by chance, as it is sent again after each.
constexpr int kHoldSingleRequestWeight = 3 * kBegunWeight;
// A whole request is held after ends at two times that are certain, or after this many others.
constexpr int kHoldRequestWeight = 2 * kUnansweredWeight;
constexpr std::size_t kHoldRequestEnds = 3;
constexpr std::size_t kHoldRequestTimes = 2;
// Endpoints that end within this time may have a common cause, such as a rack.
constexpr milliseconds kCommonCauseSpan{50};
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
    return EndWeight::kMin;
  }
  return end.stage == AttemptStage::kBegun ? kBegunWeight : kUnansweredWeight;
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
    ++suspicion.ends;
    if (group_weight == 0 || end.at - group_start > kCommonCauseSpan) {
      suspicion.weight += group_weight;
      ++suspicion.times;
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
  if (suspect.IsRequest()) {
    return suspicion.times >= kHoldRequestTimes &&
           (suspicion.ends >= kHoldRequestEnds || suspicion.weight >= kHoldRequestWeight);
  }
  if (suspect.last_answer != net::SteadyTime{}) {
    return suspicion.weight >= kHoldAnsweredWeight;
  }
  return suspicion.weight >= (suspicion.requests > 1 ? kHoldWeight : kHoldSingleRequestWeight);
}

PartQuarantine::Rank PartQuarantine::RankOf(const Suspect& suspect, const Suspicion& suspicion) {
  const int order = !suspect.IsRequest() ? 1 : suspicion.requests > 1 ? 2 : 0;
  return {order, suspect.depth, suspicion.weight, suspicion.requests};
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
    if (end.weight > EndWeight::kMin) {
      until = std::max(until, end.at + pause);
    }
  }
  return net::ToMilliseconds(until - now);
}

std::set<std::uint32_t> PartQuarantine::EndpointsExplained() const {
  std::set<std::uint32_t> explained;
  for (const PartKey part : this->held) {
    for (const TimedEnd& end : this->suspects.at(part).ends) {
      explained.insert(end.endpoint);
    }
  }
  return explained;
}

bool PartQuarantine::MaySendAgain(const RequestEnd& end) const {
  const auto found = end.keys.own ? this->suspects.find(*end.keys.own) : this->suspects.end();
  if (found == this->suspects.end()) {
    return true;
  }
  return !this->held.contains(found->first) &&
         Weigh(found->second, this->EndpointsExplained()).times < kHoldRequestTimes;
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

const PartQuarantine::Suspects::value_type* PartQuarantine::NextToBlame(
    const std::set<PartKey>& blamed, const std::set<std::uint32_t>& explained) const {
  const Suspects::value_type* next = nullptr;
  Rank next_rank;
  for (const auto& entry : this->suspects) {
    const Suspect& suspect = entry.second;
    if (suspect.ends.size() < kHoldRequestTimes || blamed.contains(entry.first)) {
      continue;
    }
    const Suspicion suspicion = Weigh(suspect, explained);
    const Rank rank = RankOf(suspect, suspicion);
    if (IsBlamed(suspect, suspicion) && (next == nullptr || rank > next_rank)) {
      next = &entry;
      next_rank = rank;
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
      .With("kind", suspect.IsRequest() ? "request" : "part")
      .With("depth", suspect.depth)
      .With("ends", suspect.ends.size())
      .With("first_end_ms", internal::AgeOf(suspect.ends.front().at, now).count())
      .With("last_answer_ms", was_answered ? internal::AgeOf(suspect.last_answer, now).count() : -1)
      .With("probes", suspect.probes);
}

void PartQuarantine::MakeRoom() {
  while (this->suspects.size() > kMaxSuspects) {
    const auto least = std::ranges::min_element(this->suspects, {}, [this](const auto& entry) {
      const bool is_repeated = entry.second.ends.size() >= kHoldRequestTimes;
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
