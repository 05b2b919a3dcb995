#pragma once

#include <chrono>
#include <optional>

#include "net/http_types.h"

namespace lentilhead::net {

/// Times at which the event loop ran, by which the arrival of what it reads can be dated.
class LoopBeats {
 public:
  /// Records that the loop runs. Called once a period.
  void Record(SteadyTime now) {
    this->before_last = this->last;
    this->last = now;
  }

  /// Earliest arrival of what is read now. After a halt, the first beat may come before the reading
  /// of what arrived during the halt, so the beat before it counts.
  /// @param now time of reading; the result if less than two beats are recorded.
  [[nodiscard]] SteadyTime EarliestArrival(SteadyTime now) const {
    return this->before_last.value_or(now);
  }

 private:
  std::optional<SteadyTime> last;
  std::optional<SteadyTime> before_last;
};

}  // namespace lentilhead::net
