#pragma once

#include "gateway/types/request_span.h"
#include "gateway/types/shutdown_times.h"

namespace lentilhead::gateway {

/// Decides which requests a node that shuts down accepts, and when it exits. Reads no clock.
class ShutdownPolicy {
 public:
  /// For this long after the stop signal the load balancer still sends new connections.
  static constexpr std::chrono::milliseconds kListenerDrainTime{3000};

  /// Time at which the node ends the requests that are still open, so that it has exited before it
  /// is killed.
  /// @param started time of the stop signal.
  /// @param grace time between the stop signal and the kill.
  /// @param lag longest delay of the event loop seen since the stop signal.
  [[nodiscard]] static net::SteadyTime ExitAt(net::SteadyTime started,
                                              std::chrono::milliseconds grace,
                                              std::chrono::milliseconds lag);

  /// Time of the exit after a new estimate of the lag: not before the end of what was accepted for
  /// certain, and never later than planned before.
  [[nodiscard]] static net::SteadyTime RevisedExit(const ShutdownTimes& times);

  /// Whether a request ends before the exit in any case.
  [[nodiscard]] static bool EndsBeforeExit(const ShutdownTimes& times, const RequestSpan& request,
                                           net::SteadyTime now);

  /// Whether the node accepts a request that it has just read. While most new connections are still
  /// sent to it, it refuses only what usually lasts beyond its exit; later it accepts only what
  /// ends before its exit in any case.
  [[nodiscard]] static bool Accepts(const ShutdownTimes& times, const RequestSpan& request,
                                    net::SteadyTime now);
};

}  // namespace lentilhead::gateway
