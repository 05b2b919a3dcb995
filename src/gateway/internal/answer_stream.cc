#include "gateway/internal/answer_stream.h"

namespace lentilhead::gateway::internal {

StreamState AnswerStream::StateAfter(BodyState body) const {
  switch (body) {
    case BodyState::kMore:
      return StreamState::kMore;
    case BodyState::kTimedOut:
      return StreamState::kTimedOut;
    case BodyState::kBroken:
      return StreamState::kBroken;
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
  part.state = this->StateAfter(piece.state);
  co_return part;
}

}  // namespace lentilhead::gateway::internal
