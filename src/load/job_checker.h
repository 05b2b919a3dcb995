#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "load/types/experiment.h"
#include "load/types/job_result.h"

namespace lentilhead::load {

/// Builds the items of a batch job and checks the results of the job.
class JobChecker {
 public:
  JobChecker(JobPlan plan, std::string run, std::uint64_t seed);

  /// Renders the body of the submission, with one line of JSON per item.
  [[nodiscard]] std::string SubmissionBody() const;

  /// Checks the results in a JSONL body and adds their counts to `result`.
  void Check(std::string_view results, JobResult& result) const;

 private:
  [[nodiscard]] std::string PromptOf(int item) const;
  [[nodiscard]] bool IsPoison(int item) const;

  JobPlan plan;
  std::string run;
  std::uint64_t seed;
};

}  // namespace lentilhead::load
