#pragma once

#include <cstdint>

namespace lentilhead::standin {

/// Insertion or eviction of a prefix in the cache.
struct CacheChange {
  std::uint64_t prefix = 0;
  bool stored = false;  ///< False if it was evicted.
};

}  // namespace lentilhead::standin
