#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lentilhead::standin {

/// Generates the text of an answer from its prompt alone. Every token is a lower-case word and a
/// space.
class TextGenerator {
 public:
  explicit TextGenerator(std::string_view prompt);

  /// Returns a token. @param index 0-based index of the token in the answer.
  [[nodiscard]] std::string_view Token(int index) const;

  /// Returns the number of tokens of an answer without a token limit.
  [[nodiscard]] int NaturalLength() const;

  /// Counts the tokens of a text with which this answer begins.
  /// @return no value if the answer does not begin with the text, or the text ends within a token.
  [[nodiscard]] std::optional<int> CountTokens(std::string_view text) const;

 private:
  std::uint64_t seed;
};

}  // namespace lentilhead::standin
