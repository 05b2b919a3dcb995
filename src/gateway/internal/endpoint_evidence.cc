#include <algorithm>

#include "gateway/endpoint_book.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstSuspicion{300};     // a single failure is often of one connection
constexpr milliseconds kLongestSuspicion{3000};  // an endpoint that is back is noticed by then
constexpr int kLargestExponent = 5;
constexpr double kPaceWeight = 0.15;  // of the newest sample; some ten samples decide

}  // namespace

void EndpointEvidence::NoteAnswer(EndpointState& state) {
  state.failures_in_row = 0;
  state.suspect_until = {};
}

void EndpointEvidence::NoteFailure(EndpointState& state, net::SteadyTime now) {
  const milliseconds span =
      std::min(kFirstSuspicion * (1 << std::min(state.failures_in_row, kLargestExponent)),
               kLongestSuspicion);
  ++state.failures_in_row;
  state.suspect_until = now + span;
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
