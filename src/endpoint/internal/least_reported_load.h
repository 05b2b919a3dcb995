#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "endpoint/internal/candidate.h"

namespace lentilhead::endpoint::internal {

/// Picks the candidate whose last report shows the fewest requests per slot, and a random one among
/// equals. A baseline that the other policies are compared with.
class LeastReportedLoad {
 public:
  std::size_t Pick(const std::vector<Candidate>& candidates, std::uint64_t prefix_hash,
                   std::mt19937_64& random);
};

}  // namespace lentilhead::endpoint::internal
