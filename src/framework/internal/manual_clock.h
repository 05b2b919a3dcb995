#pragma once

#include "framework/types/time_types.h"

namespace lentilhead::framework::internal {

/// Clock that moves only when it is told to.
struct ManualClock {
  MonotonicTime monotonic{std::chrono::hours(1)};
  WallTime wall{std::chrono::hours(24 * 365 * 56)};
};

}  // namespace lentilhead::framework::internal
