#pragma once

#include <deque>

#include "net/http_types.h"

namespace lentilhead::admission {

/// Estimates how fast the slots of a service become free, from the slots that were in use before.
///
/// Requests that began together also end together, about one hold time later. Just after a burst,
/// a rate that is computed from all slots in use is too high: only as many count as were in use
/// half of the hold time ago. A process that has just started knows of none.
///
/// Reads no clock and does no I/O.
class ReleaseEstimate {
 public:
  /// Records the slots in use, as this node sees them.
  void Record(double in_use, net::SteadyTime now);

  /// Slots that were in use half of the hold time ago.
  /// @param hold mean time for which a request holds a slot. @param now not before the last
  ///   Record().
  [[nodiscard]] double Established(std::chrono::milliseconds hold, net::SteadyTime now) const;

 private:
  struct Use {
    net::SteadyTime since;
    double in_use = 0;
  };

  std::deque<Use> uses;  ///< oldest first
};

}  // namespace lentilhead::admission
