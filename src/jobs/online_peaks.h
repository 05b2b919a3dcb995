#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>

#include "net/http_types.h"

namespace lentilhead::jobs {

/// Learns how many slots the online requests of a group take in the recent peaks of a demand that
/// repeats within seconds. Reads no clock.
class OnlinePeaks {
 public:
  /// Records the online requests in flight.
  void Record(int online, net::SteadyTime now);

  /// Tells whether the records span the time that a peak needs to show.
  [[nodiscard]] bool IsLearned(net::SteadyTime now) const;

  /// Slots that online requests take in the recent peaks.
  [[nodiscard]] double Peak() const { return this->peak; }

  /// Tells whether demand is in a high phase.
  [[nodiscard]] bool IsHigh() const { return this->is_high; }

  /// Expected time until the next high phase; zero in one, or if none can be foreseen.
  [[nodiscard]] std::chrono::milliseconds UntilHigh(net::SteadyTime now) const;

 private:
  struct Sample {
    net::SteadyTime from;
    double sum = 0;
    int count = 0;
  };

  void Update(net::SteadyTime now);

  std::deque<Sample> samples;
  double peak = 0;
  bool is_high = false;
  net::SteadyTime low_since;  ///< epoch in a high phase, or if the beginning was not seen
  std::deque<std::chrono::milliseconds> low_phases;  ///< lengths of the last ones
};

}  // namespace lentilhead::jobs
