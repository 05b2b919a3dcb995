#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lentilhead::gateway {

/// Key of a part of a prompt that requests may share; the same on all nodes.
using PartKey = std::uint64_t;

/// Returns the key of a part, or of another piece of work, by its id.
[[nodiscard]] inline PartKey PartKeyOf(std::string_view id) {
  return XXH64(id.data(), id.size(), 0);
}

/// Formats a key for logs.
/// @return 16 hexadecimal digits.
[[nodiscard]] std::string FormatPartKey(PartKey key);

/// Formats keys for logs, separated by commas.
[[nodiscard]] std::string FormatPartKeys(const std::vector<PartKey>& keys);

}  // namespace lentilhead::gateway
