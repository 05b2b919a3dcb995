#pragma once

#include <chrono>
#include <cstdint>

namespace lentilhead::jobs::internal {

/// Returns the wall clock time, in milliseconds since the epoch. Claims use it because it is
/// comparable between nodes, up to their clock skew.
inline std::int64_t UnixTimeMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace lentilhead::jobs::internal
