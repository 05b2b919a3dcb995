#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "load/types/experiment.h"
#include "load/types/job_result.h"

namespace lentilhead::load {

/// Builds the items of a job and checks its results.
class JobChecker {
 public:
  JobChecker(JobPlan plan, std::string run, std::uint64_t seed);

  /// Body of the submission, one JSON line an item.
  [[nodiscard]] std::string SubmissionBody() const;

  /// Counts the results in a JSONL body into `result`.
  void Check(std::string_view results, JobResult& result) const;

 private:
  [[nodiscard]] std::string PromptOf(int item) const;
  [[nodiscard]] bool IsPoison(int item) const;

  JobPlan plan;
  std::string run;
  std::uint64_t seed;
};

}  // namespace lentilhead::load
