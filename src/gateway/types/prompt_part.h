#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lentilhead::gateway {

/// Key of a part of a prompt that requests may share; the same on all nodes.
using PartKey = std::uint64_t;

/// Formats a key for logs.
/// @return 16 hexadecimal digits.
[[nodiscard]] std::string FormatPartKey(PartKey key);

/// Formats keys for logs, separated by commas.
[[nodiscard]] std::string FormatPartKeys(const std::vector<PartKey>& keys);

}  // namespace lentilhead::gateway
