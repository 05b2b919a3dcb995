#pragma once

#include <map>
#include <string>
#include <vector>

#include "batch/types/item_result.h"
#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// Results that wait until their job's owner has taken them.
class ResultOutbox {
 public:
  void Add(const std::string& job, ItemResult result, framework::MonotonicTime now);

  /// Copies the first results of a job, at most `most`.
  [[nodiscard]] std::vector<ItemResult> First(const std::string& job,
                                              std::size_t max_results) const;

  /// Removes the first `count` results of a job, which its owner has taken.
  void RemoveFirst(const std::string& job, std::size_t count, framework::MonotonicTime now);

  /// Removes the results of jobs that nobody has taken since a time. @return their number.
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
