#pragma once

#include <chrono>
#include <cstdint>

namespace lentilhead::gateway {

/// Bounds on what callers may send, and how slowly.
struct CallerLimits {
  std::uint32_t header_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

}  // namespace lentilhead::gateway
