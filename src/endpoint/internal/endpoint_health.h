#pragma once

#include <chrono>

#include "endpoint/types/attempt_end.h"
#include "framework/types/time_types.h"

namespace lentilhead::endpoint::internal {

/// Circuit breaker of one endpoint, used for outlier detection.
///
/// While the breaker is closed, the endpoint takes attempts and failures are counted. While the
/// endpoint is ejected, it takes no attempts until the ejection time has passed, then one at a time
/// as a probe. A probe that succeeds closes the breaker; one that fails ejects the endpoint again
/// for longer.
class EndpointHealth {
 public:
  explicit EndpointHealth(std::chrono::nanoseconds ejection_time) : ejection_time(ejection_time) {}

  /// Counts the end of an attempt. While a probe is in flight, the end of an older attempt counts
  /// as the end of the probe, since it shows the endpoint's present state just as well.
  void OnAttemptEnded(AttemptEnd end, framework::MonotonicTime now);

  /// True if the failures counted so far justify an ejection.
  /// @param peer_failure_rate failure rate of the service's other endpoints, 0 to 1.
  [[nodiscard]] bool IsOutlier(double peer_failure_rate) const;

  /// Ejects the endpoint. Until the breaker closes, each ejection lasts twice as long as the one
  /// before, up to a bound.
  void Eject(framework::MonotonicTime now);

  /// Ends an ejection and resets all counts.
  void Close();

  /// Returns the time from which an ejected endpoint takes a probe.
  [[nodiscard]] framework::MonotonicTime EjectedUntil() const { return this->ejected_until; }

  /// True from the ejection until a probe has succeeded.
  [[nodiscard]] bool IsEjected() const { return this->ejected; }

  /// True if the endpoint may take an attempt.
  [[nodiscard]] bool Admits(framework::MonotonicTime now) const;

  void OnProbeStarted() { this->probing = true; }

  [[nodiscard]] int Attempts() const { return this->successes + this->failures; }
  [[nodiscard]] int Failures() const { return this->failures; }

 private:
  void Decay();

  std::chrono::nanoseconds ejection_time;
  bool ejected = false;
  bool probing = false;
  framework::MonotonicTime ejected_until;
  int ejections = 0;  ///< Since the breaker was last closed.
  int consecutive_failures = 0;
  int successes = 0;
  int failures = 0;
};

}  // namespace lentilhead::endpoint::internal
