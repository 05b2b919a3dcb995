#include "endpoint/internal/two_choices.h"

#include <optional>

#include "endpoint/internal/candidate_pool.h"

namespace lentilhead::endpoint::internal {

std::size_t TwoChoices::Pick(const std::vector<Candidate>& candidates, std::uint64_t prefix_hash,
                             std::mt19937_64& random) {
  if (candidates.size() == 1) {
    return 0;
  }
  const CandidatePool pool(candidates);
  const std::optional<std::size_t> preferred = pool.PreferredFor(prefix_hash);
  if (preferred) {
    return *preferred;
  }
  const std::size_t first = random() % candidates.size();
  const std::size_t second = (first + 1 + random() % (candidates.size() - 1)) % candidates.size();
  return pool.Cost(second) < pool.Cost(first) ? second : first;
}

}  // namespace lentilhead::endpoint::internal
