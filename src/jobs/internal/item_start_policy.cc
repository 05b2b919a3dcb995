#include "jobs/item_start_policy.h"

#include <algorithm>

namespace lentilhead::jobs {

namespace {

using std::chrono::milliseconds;

// With less time to spare an item starts in any free slot: it may be preempted in a high phase of
// 2.4 s, and then has to find another slot.
constexpr milliseconds kUrgentSpare{5000};
// Work is planned to be done so long before it is due.
constexpr milliseconds kReserve{4000};
// The work is divided by at least this time.
constexpr milliseconds kMinPlanned{1000};
// No slot is free for the work in high phases, so low phases need more than the even number.
constexpr double kNeedMargin = 1.3;
// Slots of each endpoint that are left free below the peak: demand is never spread evenly. More
// of them in a high phase, in which a run that is started is preempted first.
constexpr double kFreePerEndpoint = 0.5;
constexpr double kFreePerEndpointInHighPhase = 2;
// So long before the next high phase demand counts as high, as its beginning is known late.
constexpr milliseconds kBeforeHighPhase{600};

}  // namespace

int ItemStartPolicy::SlotsBelowPeak(const GroupUse& use) const {
  const double left = use.slots - this->peaks.Peak();
  return std::max(0, static_cast<int>(left));
}

double ItemStartPolicy::SlotsNeeded(std::vector<QueuedWork> work) {
  std::sort(work.begin(), work.end(), [](const QueuedWork& one, const QueuedWork& other) {
    return one.until_due < other.until_due;
  });
  milliseconds sum{0};
  double needed = 0;
  for (const QueuedWork& part : work) {
    sum += part.left_to_run;
    const milliseconds time = std::max(kMinPlanned, part.until_due - kReserve);
    needed = std::max(needed, static_cast<double>(sum.count()) / static_cast<double>(time.count()));
  }
  return kNeedMargin * needed;
}

StartReason ItemStartPolicy::Decide(const ItemCandidate& item, const GroupUse& use,
                                    const NodeWork& work, net::SteadyTime now) const {
  if (!this->peaks.IsLearned(now) || item.left_to_run <= milliseconds(0)) {
    return StartReason::kUnlearned;
  }
  // The order is by due time: an item behind this one may have less time to spare.
  if (std::min(work.least_spare, item.until_due - item.left_to_run) <= kUrgentSpare) {
    return StartReason::kUrgent;
  }
  const int below_peak = this->SlotsBelowPeak(use);
  const milliseconds until_high = this->peaks.UntilHigh(now);
  const bool is_near = until_high > milliseconds(0) && until_high <= kBeforeHighPhase;
  if (this->peaks.IsHigh() || is_near) {
    return use.batch < below_peak - kFreePerEndpointInHighPhase * use.endpoints
               ? StartReason::kBelowPeak
               : StartReason::kHighDemand;
  }
  if (use.batch < below_peak - kFreePerEndpoint * use.endpoints) {
    return StartReason::kBelowPeak;
  }
  if (item.left_to_run <= until_high) {
    return StartReason::kFits;
  }
  return work.runs < work.needed ? StartReason::kNeeded : StartReason::kNextPeak;
}

bool ItemStartPolicy::YieldsBefore(const ItemCandidate& item, const ItemCandidate& other) {
  const milliseconds spare = item.until_due - item.left_to_run;
  const milliseconds other_spare = other.until_due - other.left_to_run;
  if (std::min(spare, other_spare) > kUrgentSpare) {
    return item.left_to_run > other.left_to_run;
  }
  return ItemOrder::YieldsBefore(item, other);
}

}  // namespace lentilhead::jobs
