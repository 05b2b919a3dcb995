#pragma once

#include <cstdint>

#include "placement/types/stated_cost.h"

namespace lentilhead::placement {

/// A request whose cost is to be estimated.
struct CostQuery {
  std::uint64_t route = 0;
  std::uint64_t customer = 0;  ///< 0 without customers
  bool is_stream = true;       ///< streams are measured in events, plain requests in answers
  StatedCost stated;
};

}  // namespace lentilhead::placement
