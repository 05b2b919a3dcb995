#include "online/internal/attempt_effects.h"

namespace lentilhead::online::internal {

const char* NameOf(RetryReason reason) {
  switch (reason) {
    case RetryReason::kNoEndpoint:
      return "no_endpoint";
    case RetryReason::kNotSent:
      return "not_sent";
    case RetryReason::kBusy:
      return "busy";
    case RetryReason::kDraining:
      return "draining";
    case RetryReason::kModelNotLoaded:
      return "model_not_loaded";
    case RetryReason::kConnectionLost:
      return "connection_lost";
    case RetryReason::kTimeout:
      return "timeout";
    case RetryReason::kErrorStatus:
      return "error_status";
    case RetryReason::kStreamCut:
      return "stream_cut";
  }
  return "unknown";
}

}  // namespace lentilhead::online::internal
