#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

#include "framework/types/time_types.h"
#include "standin/engine/types/cache_change.h"

namespace lentilhead::standin {

/// Log of cache events, which become visible after a lag and of which some are lost.
class CacheEventLog {
 public:
  explicit CacheEventLog(std::chrono::nanoseconds lag) : lag(lag) {}

  void Add(const CacheChange& change, framework::MonotonicTime now);

  /// Renders the events after a sequence number that are at least `lag` old. Lost events leave
  /// gaps in the sequence numbers.
  [[nodiscard]] std::string RenderAfter(std::uint64_t sequence, framework::MonotonicTime now) const;

 private:
  struct Entry {
    std::uint64_t sequence;
    framework::MonotonicTime time;
    CacheChange change;
  };

  std::chrono::nanoseconds lag;
  std::uint64_t last_sequence = 0;
  std::deque<Entry> entries;  ///< Oldest first, at most kMaxEntries.
};

}  // namespace lentilhead::standin
