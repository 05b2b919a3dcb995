#pragma once

namespace lentilhead::endpoint {

/// How an attempt at an endpoint ended, for outlier detection.
enum class AttemptEnd {
  kSucceeded,
  kCancelledByCaller,
  kRefusedBusy,      ///< The endpoint is reachable but has no free slot.
  kRefusedDraining,  ///< The endpoint is draining.
  kFailed,           ///< Error status, lost connection or timeout.
};

}  // namespace lentilhead::endpoint
