#pragma once

#include <cstddef>
#include <string_view>

#include "gateway/types/answer_limits.h"

namespace lentilhead::gateway {

/// Which limit an endpoint's answer exceeded.
enum class AnswerBound {
  kHead,          ///< the head, or the bytes before it
  kInterimHeads,  ///< number of interim (1xx) heads
  kFraming,       ///< the head of a chunk with its extensions, or the trailer
  kAnswer,        ///< the whole answer
  kDiscarded,     ///< bytes that were read and thrown away
  kErrorBody,     ///< the body of an answer that reports an error to a batch job
  kEvent,         ///< bytes without a complete event
  kItemOutput,    ///< the output of an item of a batch job
};

/// Name of a bound in logs and metrics.
[[nodiscard]] inline std::string_view NameOf(AnswerBound bound) {
  switch (bound) {
    case AnswerBound::kHead:
      return "head";
    case AnswerBound::kInterimHeads:
      return "interim_heads";
    case AnswerBound::kFraming:
      return "framing";
    case AnswerBound::kAnswer:
      return "answer";
    case AnswerBound::kDiscarded:
      return "discarded";
    case AnswerBound::kErrorBody:
      return "error_body";
    case AnswerBound::kEvent:
      return "event";
    case AnswerBound::kItemOutput:
      return "item_output";
  }
  return "unknown";
}

/// Limit that belongs to a bound, in bytes, or as a number for AnswerBound::kInterimHeads.
[[nodiscard]] inline std::size_t LimitOf(AnswerBound bound) {
  switch (bound) {
    case AnswerBound::kHead:
      return AnswerLimits::kMaxHeadBytes;
    case AnswerBound::kInterimHeads:
      return AnswerLimits::kMaxInterimHeads;
    case AnswerBound::kFraming:
      return AnswerLimits::kMaxFramingBytes;
    case AnswerBound::kAnswer:
      return AnswerLimits::kMaxAnswerBytes;
    case AnswerBound::kDiscarded:
      return AnswerLimits::kMaxDiscardedBytes;
    case AnswerBound::kErrorBody:
      return AnswerLimits::kMaxErrorBodyBytes;
    case AnswerBound::kEvent:
      return AnswerLimits::kMaxEventBytes;
    case AnswerBound::kItemOutput:
      return AnswerLimits::kMaxItemOutputBytes;
  }
  return 0;
}

}  // namespace lentilhead::gateway
