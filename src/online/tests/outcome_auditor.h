#pragma once

#include <map>
#include <set>
#include <string>

#include "online/internal/invariant.h"
#include "online/types/outcome.h"

namespace lentilhead::online {

/// Records what the endpoints of a simulation ran; throws InvariantViolation when an answer
/// contradicts it.
class OutcomeAuditor {
 public:
  /// An endpoint ran a request.
  void OnRun(const std::string& key, int request, const std::string& answer) {
    this->ran.insert(request);
    this->answers[key].insert(answer);
    this->runs[key] += 1;
    internal::Require(this->runs[key] <= 1, internal::Invariant::kOneSendPerIntent);
    internal::Require(!this->answered_not_run.contains(request),
                      internal::Invariant::kNotRunDidNotRun);
  }

  /// A caller received its final answer. @param body empty for an error.
  void OnResponse(const std::string& key, int request, Outcome outcome, const std::string& body) {
    internal::Require(this->answered.insert(request).second, internal::Invariant::kOneFinalAnswer);
    if (outcome == Outcome::kNotRun) {
      this->answered_not_run.insert(request);
      internal::Require(!this->ran.contains(request), internal::Invariant::kNotRunDidNotRun);
    }
    if (!body.empty()) {
      internal::Require(this->answers[key].contains(body), internal::Invariant::kOwnBytesOnly);
    }
  }

  [[nodiscard]] bool HasResponse(int request) const { return this->answered.contains(request); }
  [[nodiscard]] int RunsOf(const std::string& key) const {
    const auto found = this->runs.find(key);
    return found == this->runs.end() ? 0 : found->second;
  }

 private:
  std::set<int> ran;
  std::set<int> answered;
  std::set<int> answered_not_run;
  std::map<std::string, int> runs;
  std::map<std::string, std::set<std::string>> answers;
};

}  // namespace lentilhead::online
