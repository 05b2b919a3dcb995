#include "gateway/attempt_policy.h"

#include <algorithm>

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int kSilentObjectives = 4;  // objectives without an answer: the endpoint is given up
constexpr milliseconds kLeastSilence{700};     // scheduling and a busy endpoint take some 100 ms
constexpr milliseconds kLongestSilence{1300};  // callers give a silent stream up after two seconds
constexpr milliseconds kUnstatedObjective{300};

milliseconds Patience(milliseconds objective) {
  const milliseconds base = objective.count() > 0 ? objective : kUnstatedObjective;
  return std::clamp(kSilentObjectives * base, kLeastSilence, kLongestSilence);
}

}  // namespace

bool AttemptPolicy::MayTryAgain(const Route& route, const AttemptRecord& record, bool repeatable) {
  return record.sent < route.max_attempts && (repeatable || !record.maybe_run);
}

net::SteadyTime AttemptPolicy::AnswerBy(const Route& route, net::SteadyTime now,
                                        net::SteadyTime deadline, bool can_repeat) {
  return can_repeat ? std::min(deadline, now + Patience(route.target_latency)) : deadline;
}

net::SteadyTime AttemptPolicy::NextEventBy(const Route& route, net::SteadyTime now,
                                           net::SteadyTime deadline, bool can_repeat) {
  const milliseconds gap = route.event_gap.value_or(kUnstatedObjective);
  return can_repeat ? std::min(deadline, now + Patience(gap)) : deadline;
}

}  // namespace lentilhead::gateway
