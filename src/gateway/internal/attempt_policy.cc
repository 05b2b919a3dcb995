#include "gateway/attempt_policy.h"

#include <algorithm>

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr int kSilenceObjectives = 4;  // objectives without an answer: the endpoint is given up
constexpr milliseconds kMinSilenceTimeout{700};  // scheduling and a busy endpoint take some 100 ms
constexpr milliseconds kMaxSilenceTimeout{
    1300};  // callers give a silent stream up after two seconds
constexpr milliseconds kDefaultObjective{300};

milliseconds SilenceTimeout(milliseconds objective) {
  const milliseconds base = objective.count() > 0 ? objective : kDefaultObjective;
  return std::clamp(kSilenceObjectives * base, kMinSilenceTimeout, kMaxSilenceTimeout);
}

}  // namespace

bool AttemptPolicy::MayRetry(const Route& route, const AttemptRecord& record, bool repeatable) {
  return record.sent < route.max_attempts && (repeatable || !record.maybe_run);
}

net::SteadyTime AttemptPolicy::AnswerDeadline(const Route& route, net::SteadyTime now,
                                              net::SteadyTime deadline, bool can_repeat) {
  return can_repeat ? std::min(deadline, now + SilenceTimeout(route.target_latency)) : deadline;
}

net::SteadyTime AttemptPolicy::NextEventDeadline(const Route& route, net::SteadyTime now,
                                                 net::SteadyTime deadline, bool can_repeat) {
  const milliseconds gap = route.event_gap.value_or(kDefaultObjective);
  return can_repeat ? std::min(deadline, now + SilenceTimeout(gap)) : deadline;
}

}  // namespace lentilhead::gateway
