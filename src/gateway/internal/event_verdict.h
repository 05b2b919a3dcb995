#pragma once

#include <string_view>

namespace lentilhead::gateway::internal {

/// What an event of an answer is to the stream that the answer continues.
enum class EventVerdict {
  kNext,        ///< it follows the events received before
  kRepeated,    ///< it was received before, from an earlier answer
  kNoEvent,     ///< no event of the stream, such as the head of an answer or the text of an error
  kGap,         ///< events before it are missing
  kOutOfOrder,  ///< its id does not exceed that of an earlier event of the same answer
};

/// Name of a verdict in logs and metrics.
[[nodiscard]] inline std::string_view NameOf(EventVerdict verdict) {
  switch (verdict) {
    case EventVerdict::kNext:
      return "next";
    case EventVerdict::kRepeated:
      return "repeated";
    case EventVerdict::kNoEvent:
      return "no_event";
    case EventVerdict::kGap:
      return "event_gap";
    case EventVerdict::kOutOfOrder:
      return "event_order";
  }
  return "unknown";
}

}  // namespace lentilhead::gateway::internal
