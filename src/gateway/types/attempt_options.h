#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lentilhead::gateway {

/// Headers that an attempt adds to the caller's request.
struct AttemptOptions {
  std::string endpoint_id;  ///< any other endpoint must not run the request
  std::optional<std::chrono::milliseconds> time_left;  ///< until the endpoint stops the request
  /// Id of the last event already received, after which the stream resumes.
  std::optional<std::int64_t> last_event_id;
};

}  // namespace lentilhead::gateway
