#pragma once

#include <vector>

#include "placement/types/prompt_tokens.h"

namespace lentilhead::placement {

/// Expected cost of a request before it runs.
///
/// Work is counted in units, whose time at each endpoint is learned: an event of a stream, or a
/// mean answer of a plain service.
struct RequestCost {
  double prompt_tokens = 0;
  std::vector<PromptTokens> shared;  ///< parts of the prompt that endpoints may hold, in order
  double units = 1;                  ///< expected length of the output
  double units_high = 1;             ///< 90th percentile of the length
  double first_units = 1;            ///< units until the caller has a first event or the answer
  double memory_tokens = 0;          ///< tokens that the endpoint must hold at the end, at most
};

}  // namespace lentilhead::placement
