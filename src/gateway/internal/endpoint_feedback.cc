#include <algorithm>

#include "gateway/endpoint_registry.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

// A slot of an endpoint comes free within this time, mostly.
constexpr std::chrono::milliseconds kFullPause{500};
constexpr milliseconds kMinSuspicion{300};   // a single failure often affects one connection only
constexpr milliseconds kMaxSuspicion{3000};  // a recovered endpoint gets requests again by then
constexpr milliseconds kReplacedSuspicion{10000};  // the outdated entry expires long before
constexpr int kMaxBackoffExponent = 5;
constexpr double kUnitLatencyWeight = 0.15;  // of the newest sample; the last ten weigh about 80 %

}  // namespace

void EndpointFeedback::RecordAnswer(EndpointState& state, net::SteadyTime now) {
  state.failures_in_row = 0;
  state.suspect_until = {};
  state.unreachable = false;
  state.last_answer = now;
}

void EndpointFeedback::EndSuspicion(EndpointState& state) {
  state.failures_in_row = 0;
  state.suspect_until = {};
  state.unreachable = false;
}

void EndpointFeedback::RecordFull(EndpointState& state, net::SteadyTime now) {
  state.full_until = now + kFullPause;
}

void EndpointFeedback::RecordReplacement(EndpointState& state, net::SteadyTime now) {
  state.suspect_until = now + kReplacedSuspicion;
  state.unreachable = true;
}

void EndpointFeedback::RecordFailure(EndpointState& state, net::SteadyTime now, bool unreachable) {
  const milliseconds span = std::min(
      kMinSuspicion * (1 << std::min(state.failures_in_row, kMaxBackoffExponent)), kMaxSuspicion);
  ++state.failures_in_row;
  state.failures.Add(now);
  state.suspect_until = now + span;
  state.unreachable = unreachable;
}

void EndpointFeedback::RecordAttempt(EndpointState& state, net::SteadyTime now) {
  state.attempts.Add(now);
}

void EndpointFeedback::RecordErrorAnswer(EndpointState& state, net::SteadyTime now) {
  state.failures.Add(now);
}

void EndpointFeedback::RecordLoad(EndpointState& state, const ReportedLoad& load,
                                  net::SteadyTime now) {
  state.reported = load;
  state.own_at_report = state.OwnTotal();
  state.reported_at = now;
}

void EndpointFeedback::RecordUnitLatency(EndpointState& state, std::chrono::nanoseconds span) {
  const double sample = std::chrono::duration<double, std::milli>(span).count();
  state.unit_latency_ms =
      state.unit_latency_ms == 0
          ? sample
          : state.unit_latency_ms + kUnitLatencyWeight * (sample - state.unit_latency_ms);
}

}  // namespace lentilhead::gateway
