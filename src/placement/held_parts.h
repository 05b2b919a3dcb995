#pragma once

#include <vector>

#include "placement/types/prompt_tokens.h"

namespace lentilhead::placement {

/// The parts of prompts that an endpoint is expected to hold: those that it read last.
///
/// The list is bounded, so that parts which the endpoint has dropped are forgotten here, too.
class HeldParts {
 public:
  static constexpr std::size_t kMaxParts = 48;

  /// Records that the endpoint reads a prompt.
  /// @param capacity tokens that the endpoint can hold; 0 if not known.
  void Add(const std::vector<PromptTokens>& parts, double capacity);

  /// Tokens of a prompt's leading parts that are held.
  [[nodiscard]] double Tokens(const std::vector<PromptTokens>& parts) const;

 private:
  std::vector<PromptTokens> recent;  ///< the last used one comes last
};

}  // namespace lentilhead::placement
