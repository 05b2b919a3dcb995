#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "gateway/types/prompt_keys.h"
#include "net/http_types.h"
#include "placement/types/stated_cost.h"

namespace lentilhead::gateway {

/// A complete request of a caller.
struct InferenceRequest {
  std::string id;    ///< request id that the caller sent; empty if none
  std::string host;  ///< host without port, in lower case
  std::string path;  ///< path without query
  std::optional<std::chrono::milliseconds> deadline;  ///< timeout that the caller asked for
  /// Id of the last event already received, after which the stream resumes.
  std::optional<std::int64_t> last_event_id;
  bool accepts_encoding = false;  ///< the caller accepts a body with a content encoding
  std::string api_key;            ///< key that the caller sent; empty if none
  PromptKeys keys;
  placement::StatedCost cost;  ///< as the caller states it
  net::Request message;        ///< method, target, headers and body
};

}  // namespace lentilhead::gateway
