#include "gateway/internal/answer_stream.h"

#include <algorithm>

namespace lentilhead::gateway::internal {

StreamState AnswerStream::StateAfter(BodyState body) const {
  switch (body) {
    case BodyState::kMore:
      return StreamState::kMore;
    case BodyState::kTimedOut:
      return StreamState::kTimedOut;
    case BodyState::kBroken:
      return StreamState::kBroken;
    case BodyState::kOverLimit:
      return StreamState::kOverLimit;
    case BodyState::kEnd:
      break;
  }
  if (this->UnfinishedBytes() > 0) {
    return StreamState::kBroken;
  }
  const bool may_be_broken = this->framing == AnswerFraming::kConnection && !this->has_events;
  return may_be_broken ? StreamState::kEmpty : StreamState::kComplete;
}

net::asio::awaitable<StreamPart> AnswerStream::Read(net::SteadyTime until) {
  const BodyPiece piece = co_await this->attempt.ReadPiece(until);
  StreamPart part{this->splitter.Add(piece.bytes)};
  this->has_events = this->has_events || !part.events.empty();
  part.has_advanced =
      std::ranges::any_of(part.events, [](const StreamEvent& event) { return event.has_content; });
  this->since_advance =
      part.has_advanced ? this->UnfinishedBytes() : this->since_advance + piece.received;
  part.state = this->StateAfter(piece.state);
  if (part.state == StreamState::kMore && this->since_advance > AnswerLimits::kMaxEventBytes) {
    part.state = StreamState::kOverLimit;
    this->AbortOverLimit(AnswerBound::kEvent, this->since_advance);
  }
  co_return part;
}

}  // namespace lentilhead::gateway::internal
