#pragma once

#include <array>
#include <chrono>
#include <deque>

#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// Tracks the largest recent rise of online requests at one endpoint within the time that batch
/// work needs to yield its slots.
class BurstEstimate {
 public:
  /// @param window time for which a rise is remembered.
  explicit BurstEstimate(std::chrono::milliseconds window);

  /// Records the number of online requests at the endpoint.
  void OnSample(framework::MonotonicTime now, int online);

  /// Largest rise within the window, in requests.
  [[nodiscard]] int PeakRise() const;

 private:
  struct Sample {
    framework::MonotonicTime time;
    int online;
  };

  static constexpr std::size_t kBuckets = 10;

  void RotateBuckets(framework::MonotonicTime now);

  std::chrono::milliseconds bucket_length;
  std::deque<Sample> samples;
  std::array<int, kBuckets> peaks{};
  std::size_t current = 0;
  framework::MonotonicTime bucket_started;
  bool started = false;
};

}  // namespace lentilhead::batch::internal
