#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "standin/engine/types/cache_change.h"

namespace lentilhead::standin {

/// Bounded set of prompt prefixes with least-recently-used eviction.
class PrefixCache {
 public:
  explicit PrefixCache(int capacity) : capacity(capacity < 0 ? 0 : capacity) {}

  /// Marks a prefix as used and inserts it if it is absent. @return true if it was cached.
  bool Touch(std::uint64_t prefix);

  /// Returns the changes since the last call, oldest first.
  std::vector<CacheChange> TakeChanges();

  [[nodiscard]] bool Contains(std::uint64_t prefix) const;
  [[nodiscard]] std::size_t Size() const { return this->positions.size(); }
  void Clear();

 private:
  std::size_t capacity;
  std::list<std::uint64_t> recent;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
  std::vector<CacheChange> changes;
};

}  // namespace lentilhead::standin
