#include <algorithm>

#include "gateway/endpoint_book.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstSuspicion{300};       // a single failure is often of one connection
constexpr milliseconds kLongestSuspicion{3000};    // an endpoint that is back is noticed by then
constexpr milliseconds kReplacedSuspicion{10000};  // its entry lapses long before
constexpr milliseconds kStaleBelief{10000};        // longer than most disruptions of a network
constexpr int kLargestExponent = 5;
constexpr double kPaceWeight = 0.15;  // of the newest sample; some ten samples decide

}  // namespace

void EndpointEvidence::NoteAnswer(EndpointState& state, net::SteadyTime now) {
  state.failures_in_row = 0;
  state.suspect_until = {};
  state.out_of_reach = false;
  state.last_answer = now;
}

void EndpointEvidence::NoteStaleConnection(EndpointState& state, milliseconds pause,
                                           net::SteadyTime now) {
  const bool known = now < state.stale_until;
  state.stale_after = known ? std::min(state.stale_after, pause) : pause;
  state.stale_until = now + kStaleBelief;
}

void EndpointEvidence::NoteReplaced(EndpointState& state, net::SteadyTime now) {
  state.suspect_until = now + kReplacedSuspicion;
  state.out_of_reach = true;
}

void EndpointEvidence::NoteFailure(EndpointState& state, net::SteadyTime now, bool out_of_reach) {
  const milliseconds span =
      std::min(kFirstSuspicion * (1 << std::min(state.failures_in_row, kLargestExponent)),
               kLongestSuspicion);
  ++state.failures_in_row;
  state.failures.Add(now);
  state.suspect_until = now + span;
  state.out_of_reach = out_of_reach;
}

void EndpointEvidence::NoteAttempt(EndpointState& state, net::SteadyTime now) {
  state.attempts.Add(now);
}

void EndpointEvidence::NoteUnsound(EndpointState& state, net::SteadyTime now) {
  state.failures.Add(now);
}

void EndpointEvidence::NoteLoad(EndpointState& state, const ReportedLoad& load,
                                net::SteadyTime now) {
  state.reported = load;
  state.own_at_report = state.OwnTotal();
  state.reported_at = now;
}

void EndpointEvidence::NotePace(EndpointState& state, std::chrono::nanoseconds span) {
  const double sample = std::chrono::duration<double, std::milli>(span).count();
  state.pace_ms =
      state.pace_ms == 0 ? sample : state.pace_ms + kPaceWeight * (sample - state.pace_ms);
}

}  // namespace lentilhead::gateway
