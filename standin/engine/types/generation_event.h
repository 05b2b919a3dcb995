#pragma once

#include <cstdint>

#include "framework/types/time_types.h"

namespace lentilhead::standin {

enum class GenerationEventKind { kAdmitted, kToken, kFinished };

/// Progress of one request in a ContinuousBatch.
struct GenerationEvent {
  std::uint64_t id = 0;
  GenerationEventKind kind = GenerationEventKind::kToken;
  framework::MonotonicTime time;
  int token = 0;           ///< For kToken: 0-based index of the token.
  bool cache_hit = false;  ///< For kAdmitted: the prefix was in the cache.
};

}  // namespace lentilhead::standin
