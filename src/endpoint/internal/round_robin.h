#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "endpoint/internal/candidate.h"

namespace lentilhead::endpoint::internal {

/// Picks the candidates in turn. A baseline that the other policies are compared with.
class RoundRobin {
 public:
  std::size_t Pick(const std::vector<Candidate>& candidates, std::uint64_t prefix_hash,
                   std::mt19937_64& random);

 private:
  std::size_t next = 0;
};

}  // namespace lentilhead::endpoint::internal
