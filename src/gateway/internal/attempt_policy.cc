#include "gateway/attempt_policy.h"

#include <algorithm>

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

// An attempt times out after this many latency objectives.
constexpr int kSilenceObjectives = 4;
// Far above the 100 ms that scheduling and a busy endpoint take.
constexpr milliseconds kMinSilenceTimeout{700};
// Callers drop a silent stream after 2 s.
constexpr milliseconds kMaxSilenceTimeout{1300};
// Of a body whose length is not known; a byte now and then is silence, too.
constexpr double kMinBytesPerMs = 4;
// For the answer and for the gap between events, if the route states no objective.
constexpr milliseconds kDefaultObjective{300};

milliseconds SilenceTimeout(milliseconds objective) {
  const milliseconds base = objective.count() > 0 ? objective : kDefaultObjective;
  return std::clamp(kSilenceObjectives * base, kMinSilenceTimeout, kMaxSilenceTimeout);
}

}  // namespace

bool AttemptPolicy::MayRetry(const Route& route, const AttemptRecord& record, bool repeatable) {
  return record.sent < route.max_attempts && (repeatable || !record.maybe_run);
}

net::SteadyTime AttemptPolicy::SilentWithoutAnswerAt(const Route& route, net::SteadyTime now,
                                                     net::SteadyTime deadline, bool may_retry) {
  return may_retry ? std::min(deadline, now + SilenceTimeout(route.target_latency)) : deadline;
}

bool AttemptPolicy::IsOnCourse(const BodyProgress& body, milliseconds left) {
  const auto received = static_cast<double>(body.received);
  const double bytes_per_ms =
      received / static_cast<double>(std::max<std::int64_t>(1, body.duration.count()));
  if (!body.left) {
    return bytes_per_ms >= kMinBytesPerMs;
  }
  return static_cast<double>(*body.left) <= bytes_per_ms * static_cast<double>(left.count());
}

net::SteadyTime AttemptPolicy::SilentWithoutEventAt(const Route& route, net::SteadyTime now,
                                                    net::SteadyTime deadline, bool may_retry) {
  const milliseconds gap = route.event_gap.value_or(kDefaultObjective);
  return may_retry ? std::min(deadline, now + SilenceTimeout(gap)) : deadline;
}

}  // namespace lentilhead::gateway
