#pragma once

#include <cstddef>
#include <string>

#include "jobs/item_start_policy.h"

namespace lentilhead::jobs::internal {

/// What a node keeps for its decisions on the items of one service.
struct ItemStarts {
  ItemStartPolicy policy;
  NodeWork work;              ///< counts all owned jobs, whatever their service
  net::SteadyTime summed_at;  ///< time at which the work was summed up
  /// The last item held back and why, so that each decision is logged once.
  std::string held_job;
  std::size_t held_item = 0;
  StartReason held_reason = StartReason::kUnlearned;
};

}  // namespace lentilhead::jobs::internal
