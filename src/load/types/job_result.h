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
  int succeeded = 0;   ///< Items with the right answer.
  int failed = 0;      ///< Items with a typed error.
  int missing = 0;     ///< Items without a result.
  int duplicated = 0;  ///< Items with more than one result.
  int wrong = 0;       ///< Items with another answer than their own.
  std::chrono::milliseconds duration{0};
  std::string error;  ///< Code of the refusal, if it was not accepted.

  /// True if every item ended exactly once with its own answer or a typed error.
  [[nodiscard]] bool IsComplete() const {
    return this->accepted && this->finished && this->missing == 0 && this->duplicated == 0 &&
           this->wrong == 0;
  }
};

}  // namespace lentilhead::load
