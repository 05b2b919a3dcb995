#pragma once

#include <cstdint>

#include "batch/types/partial_answer.h"

namespace lentilhead::batch {

/// Permission for an endpoint owner to run one attempt at an item.
struct ItemGrant {
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;  ///< Attempt number; its upper 32 bits hold the epoch.
  bool solo = false;          ///< The item must be the only batch item at its endpoint.
  PartialAnswer partial;      ///< Partial answer of earlier attempts, which this attempt continues.
};

}  // namespace lentilhead::batch
