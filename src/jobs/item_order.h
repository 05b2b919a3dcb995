#pragma once

#include <chrono>
#include <vector>

namespace lentilhead::jobs {

/// An item as the order of batch work sees it.
struct ItemCandidate {
  std::chrono::milliseconds until_due{0};    ///< negative once the results are due
  std::chrono::milliseconds left_to_run{0};  ///< expected time of the rest of its run
};

/// Orders the items of batch jobs. Answers a flood of jobs that the free slots cannot finish on
/// time.
///
/// Earliest due first alone makes nearly every item late in a flood: each one starts when it is
/// almost due. Items that cannot be on time any more therefore come after all others; they run in
/// the slots that are left, and are never dropped. Reads no clock.
class ItemOrder {
 public:
  /// Tells whether an item that starts now is expected to end on time.
  [[nodiscard]] static bool CanBeOnTime(const ItemCandidate& item);

  /// Tells whether an item is to start before another.
  [[nodiscard]] static bool StartsBefore(const ItemCandidate& item, const ItemCandidate& other);

  /// Tells whether a running item is to make room for online work before another: first those that
  /// are late anyway, then those with the most time to spare.
  [[nodiscard]] static bool YieldsBefore(const ItemCandidate& item, const ItemCandidate& other);
};

}  // namespace lentilhead::jobs
