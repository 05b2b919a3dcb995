#include "standin/engine/text_generator.h"

#include <array>

#include "framework/hash.h"

namespace lentilhead::standin {

namespace {

constexpr std::array<std::string_view, 32> kWords = {
    "the ",  "stage ", "is ",     "free ",   "on ",      "monday ", "and ",    "puppet ",
    "calm ", "dog ",   "likes ",  "long ",   "walks ",   "with ",   "people ", "who ",
    "have ", "time ",  "for ",    "camera ", "two ",     "quiet ",  "cats ",   "wait ",
    "near ", "a ",     "window ", "every ",  "morning ", "bright ", "set ",    "ready "};
constexpr int kMinAnswerTokens = 16;
constexpr int kAnswerTokenRange = 16;
constexpr std::uint64_t kHashMultiplier = 0x9E3779B97F4A7C15ULL;
constexpr int kWordIndexShift = 59;

}  // namespace

TextGenerator::TextGenerator(std::string_view prompt) : seed(framework::Hash(prompt)) {}

std::string_view TextGenerator::Token(int index) const {
  std::uint64_t mixed = (this->seed + static_cast<std::uint64_t>(index)) * kHashMultiplier;
  mixed = (mixed ^ (mixed >> 29)) * kHashMultiplier;
  return kWords[mixed >> kWordIndexShift];
}

int TextGenerator::NaturalLength() const {
  return kMinAnswerTokens + static_cast<int>(this->seed % kAnswerTokenRange);
}

std::optional<int> TextGenerator::CountTokens(std::string_view text) const {
  int count = 0;
  while (!text.empty()) {
    const std::string_view token = this->Token(count);
    if (text.substr(0, token.size()) != token) {
      return std::nullopt;
    }
    text.remove_prefix(token.size());
    count += 1;
  }
  return count;
}

}  // namespace lentilhead::standin
