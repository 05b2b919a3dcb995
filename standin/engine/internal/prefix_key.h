#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilhead::standin {

/// Renders a prefix hash in hexadecimal, since many JSON parsers lose bits of 64-bit numbers.
std::string PrefixKeyOf(std::uint64_t prefix);

/// Parses a hexadecimal prefix hash. @return no value if the key is not one.
std::optional<std::uint64_t> ParsePrefixKey(std::string_view key);

}  // namespace lentilhead::standin
