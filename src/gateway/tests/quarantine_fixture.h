#pragma once

#include <string>
#include <vector>

#include "gateway/part_quarantine.h"

namespace lentilhead::gateway::tests {

inline constexpr PartKey kFirst = 1;    // shared by sound requests
inline constexpr PartKey kSubject = 2;  // shared by some of them
inline constexpr PartKey kBad = 3;
inline constexpr PartKey kOtherBad = 4;
inline constexpr PartKey kRequest = 7;  // key of a whole request
inline constexpr PartKey kOtherRequest = 8;
inline constexpr net::SteadyTime kStart{std::chrono::hours(1)};

/// A quarantine with a clock.
struct QuarantineFixture {
  /// Records that a new endpoint ended under a new request with these parts.
  void End(const std::vector<PartKey>& parts, AttemptStage stage = AttemptStage::kBegun) {
    this->EndRequest({parts, {}}, stage);
  }

  /// Records that a new endpoint ended under a new request with these keys.
  void EndRequest(const PromptKeys& keys, AttemptStage stage = AttemptStage::kBegun,
                  bool is_certain = true) {
    ++this->requests;
    this->EndAgain(keys, stage, is_certain);
  }

  /// Records that a new endpoint ended under the last request.
  void EndAgain(const PromptKeys& keys, AttemptStage stage = AttemptStage::kBegun,
                bool is_certain = true) {
    this->quarantine.RecordEnd(
        {"request" + std::to_string(this->requests), keys, ++this->endpoints, stage, is_certain},
        this->now);
    this->now += std::chrono::milliseconds(100);
  }

  [[nodiscard]] bool IsRequestHeld(const PromptKeys& keys) const {
    return std::holds_alternative<PartHeld>(this->quarantine.Check(keys, this->now));
  }
  [[nodiscard]] bool IsHeld(const std::vector<PartKey>& parts) const {
    return this->IsRequestHeld({parts, {}});
  }
  [[nodiscard]] bool MayProbe(const std::vector<PartKey>& parts) const {
    return std::holds_alternative<PartProbe>(this->quarantine.Check({parts, {}}, this->now));
  }

  PartQuarantine quarantine;
  net::SteadyTime now = kStart;
  std::uint32_t endpoints = 0;
  int requests = 0;
};

}  // namespace lentilhead::gateway::tests
