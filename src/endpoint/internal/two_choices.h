#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "endpoint/internal/candidate.h"

namespace lentilhead::endpoint::internal {

/// Picks the preferred candidate for the request's prefix, or the cheaper of two random candidates
/// if there is none.
class TwoChoices {
 public:
  std::size_t Pick(const std::vector<Candidate>& candidates, std::uint64_t prefix_hash,
                   std::mt19937_64& random);
};

}  // namespace lentilhead::endpoint::internal
