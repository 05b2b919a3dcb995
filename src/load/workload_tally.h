#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/types/call_result.h"

namespace lentilhead::load {

/// Counts and durations of the calls of one workload in one phase.
class WorkloadTally {
 public:
  void Add(const CallResult& result);
  void Merge(const WorkloadTally& other);

  [[nodiscard]] std::uint64_t Calls() const { return this->calls; }
  [[nodiscard]] std::uint64_t CountOf(CallEnd end) const;
  [[nodiscard]] std::uint64_t Tokens() const { return this->tokens; }

  /// Returns the number of calls that did not complete, by HTTP status and error code.
  [[nodiscard]] const std::map<std::string, std::uint64_t>& Reasons() const {
    return this->reasons;
  }

  /// Returns a quantile of the time to the first token of completed calls; zero without any.
  [[nodiscard]] std::chrono::nanoseconds FirstTokenQuantile(double quantile) const;

  /// Returns a quantile of the longest gap between two tokens of a completed call; zero without
  /// any.
  [[nodiscard]] std::chrono::nanoseconds GapQuantile(double quantile) const;

 private:
  std::uint64_t calls = 0;
  std::uint64_t tokens = 0;
  std::map<CallEnd, std::uint64_t> ends;
  std::map<std::string, std::uint64_t> reasons;
  std::vector<std::chrono::nanoseconds> first_tokens;
  std::vector<std::chrono::nanoseconds> gaps;
};

}  // namespace lentilhead::load
