#pragma once

#include <string_view>
#include <vector>

#include "gateway/internal/endpoint_attempt.h"
#include "gateway/internal/event_splitter.h"
#include "gateway/internal/stream_sequence.h"

namespace lentilhead::gateway::internal {

/// State of a streamed answer after a read.
enum class StreamState {
  kMore,       ///< more events may follow
  kComplete,   ///< the last event was received
  kEmpty,      ///< the connection ended before any event: broken, or nothing was left to send
  kUnproven,   ///< ended by a framed answer that resumed it and added no event
  kUnframed,   ///< the connection ended behind an event, which may not be the last one
  kBroken,     ///< broken off between events or inside one
  kForeign,    ///< bytes follow that are no event
  kMisplaced,  ///< an event follows that does not continue the stream, or events that it repeats
               ///< end before the last one of the stream
  kTimedOut,   ///< the time limit passed first
  kOverLimit,  ///< the answer exceeds one of AnswerLimits
};

/// Name of a state in logs.
[[nodiscard]] std::string_view NameOf(StreamState state);

/// Events of a streamed answer from one read.
struct StreamPart {
  std::vector<StreamEvent> events;  ///< that continue the stream; repeated ones are left out
  /// Whether an event has an id or data; others, such as comments, do not advance the stream.
  bool has_advanced = false;
  StreamState state = StreamState::kMore;
};

/// Reads the events of a streamed answer and decides whether they continue the stream and whether
/// the stream is complete.
class AnswerStream {
 public:
  /// @param attempt its answer is read; must outlive this object.
  /// @param framing framing of that answer.
  /// @param sequence stream that the answer continues; must outlive this object.
  AnswerStream(EndpointAttempt& attempt, AnswerFraming framing, StreamSequence& sequence)
      : attempt(attempt), framing(framing), sequence(sequence) {
    sequence.BeginAnswer();
  }

  /// Reads the next events.
  /// @param until time limit of the read.
  net::asio::awaitable<StreamPart> Read(net::SteadyTime until);

  /// Number of bytes received after the last complete event.
  [[nodiscard]] std::size_t UnfinishedBytes() const { return this->splitter.Rest().size(); }

  /// Whether the answer holds a later event that the stream has not reached.
  [[nodiscard]] bool HasLaterEvent() const { return this->sequence.HasLaterEvent(); }

  /// Peer that the connection leads through, if there is one.
  [[nodiscard]] const std::optional<net::asio::ip::address>& Through() const {
    return this->attempt.Through();
  }

  /// Closes the connection of an answer that exceeds a limit; logs and counts it.
  void AbortOverLimit(AnswerBound bound, std::size_t amount) {
    this->attempt.AbortOverLimit(bound, amount);
  }

 private:
  /// Takes events into the stream, up to the first one that does not continue it.
  /// @return the events taken that are not repeated.
  StreamPart Take(std::vector<StreamEvent> received);
  [[nodiscard]] StreamState StateAfter(BodyState body) const;

  EndpointAttempt& attempt;
  AnswerFraming framing;
  StreamSequence& sequence;
  EventSplitter splitter;
  std::size_t since_advance = 0;  ///< bytes received since the stream advanced
};

}  // namespace lentilhead::gateway::internal
