#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "endpoint/internal/candidate.h"

namespace lentilhead::endpoint::internal {

/// Picks the preferred candidate for the request's prefix. If there is none, picks the next one in
/// a round robin weighted by slots and skips candidates that are slow or whose cost exceeds a
/// bound.
///
/// The round robin spreads the requests of one instance evenly, which reports alone cannot do
/// because they lag. The bound lets reports override the round robin only for endpoints whose cost
/// exceeds the mean by more than stale reports can cause.
class BoundedTurns {
 public:
  std::size_t Pick(const std::vector<Candidate>& candidates, std::uint64_t prefix_hash,
                   std::mt19937_64& random);
};

}  // namespace lentilhead::endpoint::internal
