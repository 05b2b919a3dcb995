#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace lentilhead::bench {

/// Durations and counts of the direct calls, or of the calls through the entry.
struct SampleSet {
  std::vector<std::chrono::nanoseconds> durations;
  std::size_t failed = 0;
  std::size_t completed = 0;
  std::size_t events = 0;

  void Merge(const SampleSet& other) {
    this->durations.insert(this->durations.end(), other.durations.begin(), other.durations.end());
    this->failed += other.failed;
    this->completed += other.completed;
    this->events += other.events;
  }

  /// Returns a quantile of the durations in milliseconds. Sorts the durations.
  double Quantile(double quantile) {
    if (this->durations.empty()) {
      return 0;
    }
    std::sort(this->durations.begin(), this->durations.end());
    const auto last = static_cast<double>(this->durations.size() - 1);
    const auto index = static_cast<std::size_t>(quantile * last);
    return std::chrono::duration<double, std::milli>(this->durations[index]).count();
  }
};

}  // namespace lentilhead::bench
