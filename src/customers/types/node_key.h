#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace lentilhead::customers {

/// Names a node in messages about quotas.
using NodeKey = std::uint32_t;

/// Returns the key of a node. @param name name of the node.
[[nodiscard]] inline NodeKey NodeKeyOf(std::string_view name) {
  return XXH32(name.data(), name.size(), 0);
}

}  // namespace lentilhead::customers
