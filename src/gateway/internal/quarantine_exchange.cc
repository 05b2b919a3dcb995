#include <algorithm>

#include "gateway/internal/age.h"
#include "gateway/part_quarantine.h"
#include "gateway/types/end_weight.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A change is sent several times meanwhile, so that all nodes receive it.
constexpr seconds kRepeatSpan{5};
// A message takes time, so that an answer seems later at each node that repeats it. An answer that
// is later by less than this is the one that is known.
constexpr milliseconds kAnswerDrift{100};

}  // namespace

std::vector<PartEvidence> PartQuarantine::Evidence(net::SteadyTime now, bool for_new_node) const {
  std::vector<const Suspects::value_type*> order;
  for (const auto& entry : this->suspects) {
    const bool is_recent = now - entry.second.last_changed < kRepeatSpan;
    if (for_new_node || is_recent || this->held.contains(entry.first)) {
      order.push_back(&entry);
    }
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
      shared.ends.push_back({end.endpoint, end.request, end.weight, internal::AgeOf(end.at, now)});
    }
    if (suspect.last_answer != net::SteadyTime{}) {
      shared.answer_age = internal::AgeOf(suspect.last_answer, now);
    }
    shared.probes = suspect.probes;
    shared.probe_age = internal::AgeOf(suspect.last_probe, now);
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
    if (at > suspect.last_answer + kAnswerDrift) {
      this->NoteAnswer(evidence.part, at, now);
    }
  }
  for (const PartEnd& end : evidence.ends) {
    const int weight = std::clamp(end.weight, EndWeight::kUncertain, EndWeight::kBegun);
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

}  // namespace lentilhead::gateway
