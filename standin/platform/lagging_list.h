#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "framework/types/time_types.h"
#include "standin/platform/types/list_entry.h"

namespace lentilhead::standin {

/// Lists of live and leaving instances by service. A change becomes visible after a lag.
class LaggingList {
 public:
  explicit LaggingList(std::chrono::milliseconds lag) : lag(lag) {}

  /// Records a change of a service's list.
  void RecordChange(const std::string& service, ListEntry entry, framework::MonotonicTime now);

  /// Returns the entries of a service's list that are visible at `now`, sorted by name.
  [[nodiscard]] std::vector<ListEntry> VisibleEntries(const std::string& service,
                                                      framework::MonotonicTime now);

 private:
  struct PendingChange {
    framework::MonotonicTime visible_at;
    std::string service;
    ListEntry entry;
  };

  std::chrono::milliseconds lag;
  std::deque<PendingChange> pending;
  std::map<std::string, std::map<std::string, ListEntry>> visible;
};

}  // namespace lentilhead::standin
