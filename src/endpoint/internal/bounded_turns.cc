#include "endpoint/internal/bounded_turns.h"

#include <algorithm>
#include <optional>

#include "endpoint/internal/candidate_pool.h"

namespace lentilhead::endpoint::internal {

namespace {

constexpr double kMaxCostOverMean = 1.3;  ///< Candidates with a higher cost are skipped.
constexpr double kFullLoad = 1.0;         ///< Load up to which no request waits for a slot.
/// One choice in this many also considers slow candidates, to measure whether they are still slow.
constexpr std::uint64_t kChoicesPerExploration = 256;

}  // namespace

std::size_t BoundedTurns::Pick(const std::vector<Candidate>& candidates, std::uint64_t prefix_hash,
                               std::mt19937_64& random) {
  if (candidates.size() == 1) {
    return 0;
  }
  const CandidatePool pool(candidates);
  const std::optional<std::size_t> preferred = pool.PreferredFor(prefix_hash);
  if (preferred) {
    return *preferred;
  }
  const bool explores = random() % kChoicesPerExploration == 0;
  const double bound = std::max(kFullLoad, kMaxCostOverMean * pool.MeanCost());
  std::optional<std::size_t> next;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const bool takes = (explores || !pool.IsSlow(index)) && pool.Cost(index) <= bound;
    if (takes && (!next || candidates[index].round_position < candidates[*next].round_position)) {
      next = index;
    }
  }
  return next ? *next : pool.Cheapest();
}

}  // namespace lentilhead::endpoint::internal
