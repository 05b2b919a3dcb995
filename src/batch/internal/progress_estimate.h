#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// Estimates the rate at which the items of a job end, smoothed over about one minute.
class ProgressEstimate {
 public:
  explicit ProgressEstimate(framework::MonotonicTime started);

  /// Adds `count` ended items.
  void OnEnded(std::size_t count);

  /// Updates the rate, at most once a second.
  void OnTime(framework::MonotonicTime now);

  /// Estimated time until `count` more items have ended; no value before enough items have ended.
  [[nodiscard]] std::optional<std::chrono::milliseconds> TimeFor(std::size_t count) const;

 private:
  framework::MonotonicTime measured;
  std::size_t since_measured = 0;
  std::size_t ended = 0;
  double rate = 0;
  int measurements = 0;
};

}  // namespace lentilhead::batch::internal
