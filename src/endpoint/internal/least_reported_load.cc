#include "endpoint/internal/least_reported_load.h"

namespace lentilhead::endpoint::internal {

std::size_t LeastReportedLoad::Pick(const std::vector<Candidate>& candidates,
                                    std::uint64_t /*prefix_hash*/, std::mt19937_64& random) {
  std::size_t best = 0;
  double best_load = 0;
  std::size_t equal = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    const double load = static_cast<double>(candidate.reported_requests) / candidate.slots;
    if (index == 0 || load < best_load) {
      best = index;
      best_load = load;
      equal = 1;
    } else if (load == best_load) {
      equal += 1;
      best = random() % equal == 0 ? index : best;
    }
  }
  return best;
}

}  // namespace lentilhead::endpoint::internal
