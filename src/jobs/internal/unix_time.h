#pragma once

#include <chrono>
#include <cstdint>

namespace lentilhead::jobs::internal {

/// Milliseconds since the epoch, which claims hold so that any node can go by them.
inline std::int64_t UnixTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace lentilhead::jobs::internal
