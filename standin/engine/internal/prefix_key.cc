#include "standin/engine/internal/prefix_key.h"

#include <array>
#include <charconv>

namespace lentilhead::standin {

namespace {

constexpr int kBase = 16;
constexpr std::size_t kMaxDigits = 16;

}  // namespace

std::string PrefixKeyOf(std::uint64_t prefix) {
  std::array<char, kMaxDigits> digits{};
  const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), prefix, kBase);
  return {digits.data(), end};
}

std::optional<std::uint64_t> ParsePrefixKey(std::string_view key) {
  std::uint64_t prefix = 0;
  const auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), prefix, kBase);
  const bool is_complete = error == std::errc() && end == key.data() + key.size() && !key.empty();
  return is_complete ? std::optional(prefix) : std::nullopt;
}

}  // namespace lentilhead::standin
