#pragma once

#include <optional>
#include <vector>

#include "placement/types/prompt_tokens.h"

namespace lentilhead::placement {

/// What a request states about its cost. Callers may leave out or misstate all of it.
struct StatedCost {
  std::optional<int> prompt_tokens;
  std::optional<int> most_output_tokens;  ///< the output ends there
  std::optional<int> length_hint;         ///< the caller's estimate of output tokens
  std::vector<PromptTokens> shared;       ///< parts that other requests may share, in order
};

}  // namespace lentilhead::placement
