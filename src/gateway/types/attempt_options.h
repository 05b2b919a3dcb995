#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lentilhead::gateway {

/// Headers that an attempt adds to the caller's request.
struct AttemptOptions {
  std::string endpoint_id;  ///< any other endpoint must not run the request
  std::optional<std::chrono::milliseconds>
      time_left;  ///< time after which the endpoint stops the request
  std::optional<std::int64_t>
      last_event_id;  ///< resume offset: the stream continues after this event
};

}  // namespace lentilhead::gateway
