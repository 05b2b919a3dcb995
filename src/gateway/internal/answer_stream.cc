#include "gateway/internal/answer_stream.h"

namespace lentilhead::gateway::internal {

std::string_view NameOf(StreamState state) {
  switch (state) {
    case StreamState::kMore:
      return "open";
    case StreamState::kComplete:
      return "complete";
    case StreamState::kEmpty:
      return "empty";
    case StreamState::kUnproven:
      return "unproven";
    case StreamState::kUnframed:
      return "unframed";
    case StreamState::kBroken:
      return "cut";
    case StreamState::kForeign:
      return "foreign_bytes";
    case StreamState::kMisplaced:
      return "misplaced_event";
    case StreamState::kTimedOut:
      return "silent";
    case StreamState::kOverLimit:
      return "over_limit";
  }
  return "unknown";
}

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
  if (this->sequence.IsShort()) {
    return StreamState::kMisplaced;
  }
  const bool is_framed = this->framing != AnswerFraming::kConnection;
  if (this->sequence.HasGrown()) {
    return is_framed ? StreamState::kComplete : StreamState::kUnframed;
  }
  // Without framing, a connection that was lost behind the head ends in the same way.
  if (!is_framed) {
    return StreamState::kEmpty;
  }
  return this->sequence.IsResumed() ? StreamState::kUnproven : StreamState::kComplete;
}

StreamPart AnswerStream::Take(std::vector<StreamEvent> received) {
  StreamPart part;
  for (StreamEvent& event : received) {
    const EventVerdict verdict = this->sequence.Take(event);
    if (verdict != EventVerdict::kNext && verdict != EventVerdict::kRepeated) {
      part.state =
          verdict == EventVerdict::kNoEvent ? StreamState::kForeign : StreamState::kMisplaced;
      this->attempt.AbortAtEvent(verdict, this->sequence.LastOfAnswer(), event.id);
      return part;
    }
    part.has_advanced = part.has_advanced || event.has_content;
    if (verdict == EventVerdict::kNext) {
      part.events.push_back(std::move(event));
    }
  }
  return part;
}

net::asio::awaitable<StreamPart> AnswerStream::Read(net::SteadyTime until) {
  const BodyPiece piece = co_await this->attempt.ReadPiece(until);
  StreamPart part = this->Take(this->splitter.Add(piece.bytes));
  if (part.state != StreamState::kMore) {
    co_return part;
  }
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
