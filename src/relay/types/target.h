#pragma once

#include <cstdint>
#include <string>

namespace lentilhead::relay {

/// A listed endpoint, as far as paths to it are concerned.
struct Target {
  std::uint32_t key = 0;  ///< the same on all nodes
  std::string zone;
};

}  // namespace lentilhead::relay
