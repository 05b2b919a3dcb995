#include "gateway/types/prompt_part.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace lentilhead::gateway {

std::string FormatPartKey(PartKey key) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, key);
  return text.data();
}

std::string FormatPartKeys(const std::vector<PartKey>& keys) {
  std::string text;
  for (const PartKey key : keys) {
    text += (text.empty() ? "" : ",") + FormatPartKey(key);
  }
  return text;
}

}  // namespace lentilhead::gateway
