#include "gateway/placement.h"

#include <algorithm>
#include <numeric>

namespace lentilhead::gateway {

namespace {

constexpr double kMinUnseenRequests = 1e-6;  // reaches only the least filled candidates

/// Returns the common fill up to which a number of requests raises the least filled candidates.
/// @param order indexes of the candidates, in ascending order of fill.
double WaterLevel(const std::vector<PlacementCandidate>& candidates,
                  const std::vector<std::size_t>& order, double requests) {
  double slots = 0;
  double load = 0;
  double level = 0;
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    const PlacementCandidate& candidate = candidates[order[rank]];
    slots += candidate.slots;
    load += candidate.slots * candidate.fill;
    level = (requests + load) / slots;
    const bool is_highest = rank + 1 == order.size();
    if (is_highest || level <= candidates[order[rank + 1]].fill) {
      break;
    }
  }
  return level;
}

}  // namespace

std::size_t Placement::Choose(const std::vector<PlacementCandidate>& candidates, double unseen,
                              double draw) {
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return candidates[left].fill < candidates[right].fill;
  });
  const double requests = std::max(unseen, kMinUnseenRequests);
  const double level = WaterLevel(candidates, order, requests);
  double left = draw * requests;
  for (const std::size_t index : order) {
    left -= std::max(0.0, candidates[index].slots * (level - candidates[index].fill));
    if (left < 0) {
      return index;
    }
  }
  return order.front();
}

}  // namespace lentilhead::gateway
