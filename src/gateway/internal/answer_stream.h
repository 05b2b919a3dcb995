#pragma once

#include <vector>

#include "gateway/internal/endpoint_attempt.h"
#include "gateway/internal/event_splitter.h"

namespace lentilhead::gateway::internal {

/// Events of a streamed answer from one read.
struct StreamPart {
  std::vector<StreamEvent> events;
  BodyState state = BodyState::kMore;  ///< kEnd only if the stream is complete
};

/// Reads the events of a streamed answer and decides whether the stream is complete.
class AnswerStream {
 public:
  /// @param attempt its answer is read; must outlive this object.
  explicit AnswerStream(EndpointAttempt& attempt) : attempt(attempt) {}

  /// Reads the next events.
  /// @param until time limit of the read.
  net::asio::awaitable<StreamPart> Read(net::SteadyTime until);

  /// Number of bytes received after the last complete event.
  [[nodiscard]] std::size_t UnfinishedBytes() const { return this->splitter.Rest().size(); }

 private:
  EndpointAttempt& attempt;
  EventSplitter splitter;
};

}  // namespace lentilhead::gateway::internal
