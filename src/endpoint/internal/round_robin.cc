#include "endpoint/internal/round_robin.h"

namespace lentilhead::endpoint::internal {

std::size_t RoundRobin::Pick(const std::vector<Candidate>& candidates,
                             std::uint64_t /*prefix_hash*/, std::mt19937_64& /*random*/) {
  return this->next++ % candidates.size();
}

}  // namespace lentilhead::endpoint::internal
