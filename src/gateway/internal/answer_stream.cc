#include "gateway/internal/answer_stream.h"

namespace lentilhead::gateway::internal {

net::asio::awaitable<StreamPart> AnswerStream::Read(net::SteadyTime until) {
  const BodyPiece piece = co_await this->attempt.ReadPiece(until);
  StreamPart part{this->splitter.Add(piece.bytes), piece.state};
  // An answer may end with its connection, so the end of the body does not show that it is whole.
  if (part.state == BodyState::kEnd && this->UnfinishedBytes() > 0) {
    part.state = BodyState::kBroken;
  }
  co_return part;
}

}  // namespace lentilhead::gateway::internal
