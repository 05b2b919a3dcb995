#include "jobs/types/start_reason.h"

namespace lentilhead::jobs {

std::string_view NameOf(StartReason reason) {
  switch (reason) {
    case StartReason::kUnlearned:
      return "unlearned";
    case StartReason::kUrgent:
      return "urgent";
    case StartReason::kBelowPeak:
      return "below_peak";
    case StartReason::kFits:
      return "fits";
    case StartReason::kNeeded:
      return "needed";
    case StartReason::kHighDemand:
      return "high_demand";
    case StartReason::kNextPeak:
      return "next_peak";
    case StartReason::kNoMemory:
      return "no_memory";
    case StartReason::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

}  // namespace lentilhead::jobs
