#pragma once

#include <chrono>
#include <vector>

#include "jobs/item_order.h"
#include "jobs/online_peaks.h"
#include "jobs/types/group_use.h"
#include "jobs/types/node_work.h"
#include "jobs/types/queued_work.h"
#include "jobs/types/start_reason.h"

namespace lentilhead::jobs {

/// Decides for one service whether a batch item starts now, how many slots batch work may hold, and
/// which run yields to online work. Reads no clock.
///
/// An item in a slot that the next peak of online demand needs is preempted there. Items therefore
/// start in the slots that recent peaks left free, and in further ones only as far as the node's
/// queued work needs them to be on time. An item whose latest start is near starts in any free
/// slot.
class ItemStartPolicy {
 public:
  /// Records the online requests of the group in flight.
  void RecordOnline(int online, net::SteadyTime now) { this->peaks.Record(online, now); }

  /// Decides on the item that is next in order and could start in a free slot.
  [[nodiscard]] StartReason Decide(const ItemCandidate& item, const GroupUse& use,
                                   const NodeWork& work, net::SteadyTime now) const;

  /// Slots of the group that the recent peaks leave to batch work.
  [[nodiscard]] int SlotsBelowPeak(const GroupUse& use) const;

  /// Even number of slots in which work is just done before it is due.
  [[nodiscard]] static double SlotsNeeded(std::vector<QueuedWork> work);

  /// Tells whether a run yields to online work before another: first those that are late anyway,
  /// then, while both have time for a second start, the less advanced, else the one with more time
  /// to spare.
  [[nodiscard]] static bool YieldsBefore(const ItemCandidate& item, const ItemCandidate& other);

 private:
  OnlinePeaks peaks;
};

}  // namespace lentilhead::jobs
