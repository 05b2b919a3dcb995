#pragma once

#include <chrono>
#include <cstdint>

namespace lentilhead::gateway {

/// Limits on the size and the duration of callers' requests.
struct CallerLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
  std::chrono::milliseconds header_timeout{3000};  ///< time to receive the headers
  std::chrono::milliseconds idle_timeout{15000};   ///< time until the next request begins
};

}  // namespace lentilhead::gateway
