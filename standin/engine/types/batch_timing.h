#pragma once

#include <chrono>

namespace lentilhead::standin {

/// Capacity and timing of a ContinuousBatch.
struct BatchTiming {
  int slots = 8;                            ///< Maximum number of running requests.
  std::chrono::nanoseconds token_interval;  ///< Time between two tokens of one request.
  std::chrono::nanoseconds prefill;         ///< Time to the first token without a cached prefix.
  double cached_prefill_share = 0.2;  ///< Share of `prefill` that remains with a cached prefix.
  int cache_prefixes = 64;            ///< Capacity of the prefix cache.
};

}  // namespace lentilhead::standin
