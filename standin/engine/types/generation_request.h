#pragma once

#include <cstdint>

namespace lentilhead::standin {

/// Request to a ContinuousBatch.
struct GenerationRequest {
  std::uint64_t id = 0;
  std::uint64_t prefix_hash = 0;  ///< 0 bypasses the prefix cache.
  int tokens = 1;                 ///< Tokens to generate; at least 1.
  bool hangs = false;             ///< Occupies its slot without generating tokens.
};

}  // namespace lentilhead::standin
