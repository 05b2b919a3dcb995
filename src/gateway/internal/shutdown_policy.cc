#include "gateway/shutdown_policy.h"

#include <algorithm>

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

// Two failed readiness checks, one a second, take the node out of rotation.
constexpr milliseconds kLenientTime{2800};
constexpr milliseconds kCloseTime{400};  // to end the open requests and to exit, on an idle machine
// The stop signal, the answers and the exit may each be delayed by the event loop.
constexpr int kDelayedSteps = 3;
// A request that runs into the last part of the grace period may be cut.
constexpr int kLastPartOfGrace = 6;

}  // namespace

net::SteadyTime ShutdownPolicy::ExitAt(net::SteadyTime started, milliseconds grace,
                                       milliseconds lag) {
  const milliseconds margin = kCloseTime + kDelayedSteps * lag;
  return started + grace - std::min(margin, grace / kLastPartOfGrace);
}

net::SteadyTime ShutdownPolicy::RevisedExit(const ShutdownTimes& times) {
  const net::SteadyTime wanted = ExitAt(times.started, times.grace, times.lag);
  return std::min(times.exits_at, std::max(wanted, times.promised_until));
}

bool ShutdownPolicy::EndsBeforeExit(const ShutdownTimes& times, const RequestSpan& request,
                                    net::SteadyTime now) {
  return request.longest <= times.exits_at - now;
}

bool ShutdownPolicy::Accepts(const ShutdownTimes& times, const RequestSpan& request,
                             net::SteadyTime now) {
  if (EndsBeforeExit(times, request, now)) {
    return true;
  }
  const auto left = times.exits_at - now;
  // The signal may have been noticed late by the lag.
  const bool is_draining_listener = now + times.lag < times.started + kLenientTime;
  const bool usually_ends = !request.usual || *request.usual <= left;
  return is_draining_listener && left > milliseconds(0) && usually_ends;
}

}  // namespace lentilhead::gateway
