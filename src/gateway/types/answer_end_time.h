#pragma once

#include <chrono>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// When an answer without framing ended, as far as this node can tell.
struct AnswerEndTime {
  /// Shorter than the start of an endpoint, longer than a pause of a node under load.
  static constexpr std::chrono::milliseconds kShortestStart{250};

  net::SteadyTime earliest;  ///< the end had not arrived when the event loop ran before
  net::SteadyTime read;      ///< the end was read

  /// Whether a process that has a connection may have been started after the end of the answer.
  /// @param connected when the connection was established.
  [[nodiscard]] bool MayBeStartedBefore(net::SteadyTime connected) const {
    return connected - this->earliest >= kShortestStart;
  }

  /// Whether bytes that were read at some time were sent after the end of the answer.
  /// @param arrived earliest arrival of these bytes. @param margin in which one process'
  /// connections end.
  [[nodiscard]] bool IsBefore(net::SteadyTime arrived, std::chrono::milliseconds margin) const {
    return arrived > this->read + margin;
  }
};

}  // namespace lentilhead::gateway
