#pragma once

#include <chrono>
#include <deque>

#include "framework/types/time_types.h"
#include "standin/engine/internal/load_snapshot.h"

namespace lentilhead::standin {

/// Recent load of the engine, for reports that lag behind the current load.
class LoadHistory {
 public:
  explicit LoadHistory(std::chrono::nanoseconds lag) : lag(lag) {}

  /// Adds the current load. Changes within one millisecond are merged into one entry.
  void Add(LoadSnapshot snapshot, framework::MonotonicTime now);

  /// Returns the load as it was `lag` ago, or the oldest recorded load.
  [[nodiscard]] LoadSnapshot ReportAt(framework::MonotonicTime now);

 private:
  struct Entry {
    framework::MonotonicTime time;
    LoadSnapshot snapshot;
  };

  void Trim(framework::MonotonicTime now);

  std::chrono::nanoseconds lag;
  std::deque<Entry> entries;
};

}  // namespace lentilhead::standin
