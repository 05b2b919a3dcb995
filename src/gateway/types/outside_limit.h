#pragma once

#include <chrono>
#include <cstdint>

namespace lentilhead::gateway {

/// That an endpoint names a limit, as nodes of other groups are told.
struct OutsideLimit {
  std::uint32_t incarnation = 0;     ///< of the endpoint
  std::chrono::milliseconds age{0};  ///< time since a node that uses the endpoint knew of its limit
};

}  // namespace lentilhead::gateway
