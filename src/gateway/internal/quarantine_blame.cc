#include <utility>

#include "gateway/internal/age.h"
#include "gateway/part_quarantine.h"
#include "gateway/types/end_weight.h"
#include "net/log_line.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

// Weight of the ends under which a part is held: two requests whose answers had begun.
constexpr int kHoldWeight = 2 * EndWeight::kBegun;
// A part that was answered before is shared by sound requests, which many ends hit by chance.
constexpr int kHoldAnsweredWeight = 6 * EndWeight::kBegun;
// A single request may hit several ends by chance, as it is sent again after each.
constexpr int kHoldSingleRequestWeight = 3 * EndWeight::kBegun;
// A whole request is held after ends at two times that are certain, or after this many others.
constexpr int kHoldRequestWeight = 2 * EndWeight::kUnanswered;
constexpr std::size_t kHoldRequestEnds = 3;
// Endpoints that end within this time may have a common cause, such as a rack.
constexpr milliseconds kCommonCauseSpan{50};

}  // namespace

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
    return suspicion.times >= kMinTimes &&
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

std::set<std::uint32_t> PartQuarantine::EndpointsExplained() const {
  std::set<std::uint32_t> explained;
  for (const PartKey part : this->held) {
    for (const TimedEnd& end : this->suspects.at(part).ends) {
      explained.insert(end.endpoint);
    }
  }
  return explained;
}

const PartQuarantine::Suspects::value_type* PartQuarantine::NextToBlame(
    const std::set<PartKey>& blamed, const std::set<std::uint32_t>& explained) const {
  const Suspects::value_type* next = nullptr;
  Rank next_rank;
  for (const auto& entry : this->suspects) {
    const Suspect& suspect = entry.second;
    if (suspect.ends.size() < kMinTimes || blamed.contains(entry.first)) {
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

}  // namespace lentilhead::gateway
