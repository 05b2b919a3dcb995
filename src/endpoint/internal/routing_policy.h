#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "endpoint/internal/bounded_turns.h"
#include "endpoint/internal/candidate.h"
#include "endpoint/internal/least_reported_load.h"
#include "endpoint/internal/round_robin.h"
#include "endpoint/internal/two_choices.h"

namespace lentilhead::endpoint::internal {

using RoutingPolicy = std::variant<BoundedTurns, TwoChoices, RoundRobin, LeastReportedLoad>;

/// Returns the policy with a name from the settings; BoundedTurns for an unknown name.
RoutingPolicy PolicyOf(const std::string& name);

/// Chooses one of the candidates, which must not be empty. @return its index.
std::size_t Pick(RoutingPolicy& policy, const std::vector<Candidate>& candidates,
                 std::uint64_t prefix_hash, std::mt19937_64& random);

}  // namespace lentilhead::endpoint::internal
