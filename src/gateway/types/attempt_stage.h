#pragma once

#include <string_view>

namespace lentilhead::gateway {

/// How far an endpoint got with the answer of an attempt.
enum class AttemptStage {
  kUnanswered,  ///< no head of an answer was received
  kBegun,       ///< the head was received, but no event and no whole body
  kAnswering,   ///< an event of the stream was received
};

/// Name of a stage in logs.
[[nodiscard]] inline std::string_view NameOf(AttemptStage stage) {
  switch (stage) {
    case AttemptStage::kUnanswered:
      return "unanswered";
    case AttemptStage::kBegun:
      return "begun";
    case AttemptStage::kAnswering:
      return "answering";
  }
  return "unanswered";
}

}  // namespace lentilhead::gateway
