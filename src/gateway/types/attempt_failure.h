#pragma once

#include <string_view>

namespace lentilhead::gateway {

/// How an attempt failed before the head of its answer was received.
enum class AttemptFailure {
  kNotSent,    ///< no byte of the request was written
  kNoPath,     ///< as kNotSent; this node is cut off and no peer connects it
  kUnknown,    ///< the request was written at least in part; it may have run
  kTimedOut,   ///< as kUnknown; the head did not arrive in time
  kOverLimit,  ///< as kUnknown; the answer exceeds a limit on its size
};

/// Name of a failure in logs and metrics.
[[nodiscard]] inline std::string_view NameOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return "not_sent";
    case AttemptFailure::kNoPath:
      return "no_path";
    case AttemptFailure::kUnknown:
      return "unknown";
    case AttemptFailure::kTimedOut:
      return "timed_out";
    case AttemptFailure::kOverLimit:
      return "over_limit";
  }
  return "unknown";
}

}  // namespace lentilhead::gateway
