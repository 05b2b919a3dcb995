#pragma once

#include <chrono>
#include <optional>

namespace lentilhead::placement {

/// What a node tells its peers of the work that it has at one endpoint.
struct PeerWork {
  double units = 0;          ///< left to do
  double memory_tokens = 0;  ///< that its requests need
  double unit_ms = 0;        ///< usual time of a unit as the node learned it; 0 if not known
  std::optional<double> slowdown{};  ///< last one reported to the node
  std::chrono::milliseconds slowdown_age{0};
};

}  // namespace lentilhead::placement
