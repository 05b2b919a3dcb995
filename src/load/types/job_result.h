#pragma once

#include <chrono>
#include <string>

namespace lentilhead::load {

/// Outcome of one batch job.
struct JobResult {
  std::string name;
  std::string id;
  bool accepted = false;
  bool finished = false;
  int items = 0;
  int succeeded = 0;   ///< Results with the expected answer.
  int failed = 0;      ///< Results with an error.
  int missing = 0;     ///< Items without a result.
  int duplicated = 0;  ///< Items with more than one result.
  int wrong = 0;       ///< Results with any other answer or of no item of the job.
  std::chrono::milliseconds duration{0};
  std::string error;  ///< Response body of the refusal, if the job was not accepted.

  /// Returns true if every item has exactly one result, which is the expected answer or an error.
  [[nodiscard]] bool IsComplete() const {
    return this->accepted && this->finished && this->missing == 0 && this->duplicated == 0 &&
           this->wrong == 0;
  }
};

}  // namespace lentilhead::load
