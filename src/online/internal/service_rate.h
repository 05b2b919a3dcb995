#pragma once

#include <chrono>

#include "framework/types/time_types.h"

namespace lentilhead::online::internal {

/// Estimates how often requests of a service end, from a moving average of their durations.
class ServiceRate {
 public:
  void OnAdmit(framework::MonotonicTime now);

  /// @param admitted_at time at which the ended request was admitted.
  void OnRelease(framework::MonotonicTime admitted_at, framework::MonotonicTime now);

  /// Expected time between the ends of two requests; zero before the first end and while none runs.
  [[nodiscard]] std::chrono::nanoseconds Interval(framework::MonotonicTime now) const;

 private:
  std::chrono::nanoseconds duration{0};
  framework::MonotonicTime last_change;  ///< Last end, or first admission after idle time.
  int running = 0;
  bool measured = false;
};

}  // namespace lentilhead::online::internal
