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
  /// Whether the configuration knows customers: then the endpoint gets no API key, and the name of
  /// a customer from this node only.
  bool has_customers = false;
  std::string customer;  ///< name of the customer; empty for an anonymous request
};

}  // namespace lentilhead::gateway
