#pragma once

#include <cstdint>
#include <string_view>

namespace lentilhead::jobs {

/// Why a batch item starts now, or does not.
enum class StartReason : std::uint8_t {
  kUnlearned,   ///< starts: demand or pace is not known yet, so a free slot decides
  kUrgent,      ///< starts: its latest start is near
  kBelowPeak,   ///< starts: the recent peaks of online demand leave the slot free
  kFits,        ///< starts: expected to end before online demand rises again
  kNeeded,      ///< starts: the node's queued work needs the slot to be on time
  kHighDemand,  ///< held: online demand is high and is expected to need the slot
  kNextPeak,    ///< held: the next peak is expected to need the slot, and the work can wait
  kNoMemory,    ///< held: no endpoint with a free slot has the memory that it needs
  kTooLarge,    ///< held: it needs more memory than an endpoint of the service has
};

/// Tells whether an item starts.
[[nodiscard]] constexpr bool IsStart(StartReason reason) {
  return reason < StartReason::kHighDemand;
}

/// Name of a reason in logs and metrics.
[[nodiscard]] std::string_view NameOf(StartReason reason);

}  // namespace lentilhead::jobs
