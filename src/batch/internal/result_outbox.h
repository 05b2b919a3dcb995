#pragma once

#include <map>
#include <string>
#include <vector>

#include "batch/types/item_result.h"
#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// Results that the owner of their job has not yet acknowledged.
class ResultOutbox {
 public:
  void Add(const std::string& job, ItemResult result, framework::MonotonicTime now);

  /// Returns copies of the first results of a job, at most `max_results`.
  [[nodiscard]] std::vector<ItemResult> First(const std::string& job,
                                              std::size_t max_results) const;

  /// Removes the first `count` results of a job, which its owner has acknowledged.
  void RemoveFirst(const std::string& job, std::size_t count, framework::MonotonicTime now);

  /// Removes the results of jobs whose results have waited since before `time`. @return the number
  /// of removed results.
  std::size_t RemoveOlderThan(framework::MonotonicTime time);

  [[nodiscard]] std::vector<std::string> Jobs() const;
  [[nodiscard]] bool IsEmpty() const { return this->waiting.empty(); }

 private:
  struct WaitingResults {
    std::vector<ItemResult> results;
    framework::MonotonicTime since;
  };

  std::map<std::string, WaitingResults> waiting;
};

}  // namespace lentilhead::batch::internal
