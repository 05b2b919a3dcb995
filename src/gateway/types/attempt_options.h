#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lentilhead::gateway {

/// What an attempt at an endpoint adds to the caller's request.
struct AttemptOptions {
  std::string endpoint_id;                             ///< only this endpoint may run it
  std::optional<std::chrono::milliseconds> time_left;  ///< time after which it stops
  std::optional<std::int64_t> last_event_id;           ///< the stream goes on after this event
};

}  // namespace lentilhead::gateway
