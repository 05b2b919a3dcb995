#pragma once

#include <algorithm>

#include "net/http_types.h"

namespace lentilhead::gateway::internal {

/// Time that has passed since a moment; 0 for a moment in the future.
[[nodiscard]] inline std::chrono::milliseconds AgeOf(net::SteadyTime time, net::SteadyTime now) {
  return std::max(std::chrono::milliseconds(0), net::ToMilliseconds(now - time));
}

}  // namespace lentilhead::gateway::internal
