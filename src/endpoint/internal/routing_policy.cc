#include "endpoint/internal/routing_policy.h"

namespace lentilhead::endpoint::internal {

RoutingPolicy PolicyOf(const std::string& name) {
  if (name == "round_robin") {
    return RoundRobin{};
  }
  if (name == "least_reported_load") {
    return LeastReportedLoad{};
  }
  if (name == "two_choices") {
    return TwoChoices{};
  }
  return BoundedTurns{};
}

std::size_t Pick(RoutingPolicy& policy, const std::vector<Candidate>& candidates,
                 std::uint64_t prefix_hash, std::mt19937_64& random) {
  return std::visit([&](auto& chosen) { return chosen.Pick(candidates, prefix_hash, random); },
                    policy);
}

}  // namespace lentilhead::endpoint::internal
