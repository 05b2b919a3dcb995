#include "placement/held_parts.h"

#include <algorithm>

namespace lentilhead::placement {

void HeldParts::Add(const std::vector<PromptTokens>& parts, double capacity) {
  for (const PromptTokens& part : parts) {
    std::erase_if(this->recent, [&](const PromptTokens& held) { return held.part == part.part; });
    this->recent.push_back(part);
  }
  double tokens = 0;
  std::size_t kept = 0;
  for (auto held = this->recent.rbegin(); held != this->recent.rend() && kept < kMaxParts; ++held) {
    tokens += held->tokens;
    if (capacity > 0 && tokens > capacity) {
      break;
    }
    ++kept;
  }
  this->recent.erase(this->recent.begin(), this->recent.end() - static_cast<std::ptrdiff_t>(kept));
}

double HeldParts::Tokens(const std::vector<PromptTokens>& parts) const {
  double tokens = 0;
  for (const PromptTokens& part : parts) {
    const bool is_held =
        std::any_of(this->recent.begin(), this->recent.end(),
                    [&](const PromptTokens& held) { return held.part == part.part; });
    if (!is_held) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

}  // namespace lentilhead::placement
