#pragma once

#include <string_view>

namespace lentilhead::gateway {

/// How an attempt at an endpoint failed before its answer began.
enum class AttemptFailure {
  kNotSent,   ///< no byte of the request was written
  kUnknown,   ///< the request was written, in part or whole; it may have run
  kTimedOut,  ///< as kUnknown, and the endpoint was given up
  kStale,     ///< as kUnknown, on an idle connection that the endpoint had given up
};

/// Name of a failure in logs.
[[nodiscard]] inline std::string_view NameOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kNotSent:
      return "not_sent";
    case AttemptFailure::kUnknown:
      return "unknown";
    case AttemptFailure::kTimedOut:
      return "timed_out";
    case AttemptFailure::kStale:
      return "stale_connection";
  }
  return "unknown";
}

}  // namespace lentilhead::gateway
