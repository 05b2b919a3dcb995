#pragma once

#include <optional>

namespace lentilhead::gateway {

/// Load that an endpoint reports in the head of an answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;  ///< requests in the endpoint's queue
  int slots = 0;
  /// How long work takes at this moment, where 1 is usual. No value if the endpoint reports none.
  std::optional<double> slowdown{};
};

}  // namespace lentilhead::gateway
