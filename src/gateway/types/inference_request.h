#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// A caller's request, read whole.
struct InferenceRequest {
  std::string id;    ///< id of this attempt of the caller; empty if it named none
  std::string host;  ///< host without port, in lower case
  std::string path;  ///< path without query
  std::optional<std::chrono::milliseconds> deadline;  ///< time that the caller will wait
  std::optional<std::int64_t> last_event_id;          ///< the stream goes on after this event
  net::Request message;                               ///< method, target, headers and body
};

}  // namespace lentilhead::gateway
