#include "gateway/gateway.h"
#include "gateway/internal/endpoint_attempt.h"
#include "gateway/internal/endpoint_check.h"
#include "net/log_line.h"

namespace lentilhead::gateway::internal {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

// The system ends all connections of a process that ends within this time.
constexpr milliseconds kSameMoment{20};

/// Name of the end of an answer that states it.
std::string_view NameOfFramedEnd(AnswerFraming framing, std::size_t received) {
  if (framing == AnswerFraming::kChunks) {
    return "last_chunk";
  }
  return received > 0 ? "length" : "no_body";
}

}  // namespace

awaitable<bool> EndpointAttempt::IsRequestWritten(net::SteadyTime until) {
  const std::shared_ptr<EndpointConnection> held = this->connection;
  if (held->write == RequestWrite::kPending) {
    held->write_ended.expires_at(until);
    co_await held->write_ended.async_wait(net::kAwaitWithError);
  }
  co_return held->write == RequestWrite::kDone;
}

void EndpointAttempt::RecordUnframedEnd() {
  const net::SteadyTime now = net::Now();
  if (now - this->endpoint->unframed_end > kSameMoment) {
    this->endpoint->ended_together = 0;
  }
  ++this->endpoint->ended_together;
  this->endpoint->unframed_end = now;
}

void EndpointAttempt::RecordEnd(std::string_view sign) {
  const bool is_framed = this->Framing() != AnswerFraming::kConnection;
  std::optional<std::uint64_t> length;
  if (this->parser->content_length()) {
    length = *this->parser->content_length();
  }
  this->end = AnswerEnd{sign, this->Progress().received, length, this->connection->buffer.size(),
                        is_framed};
}

void EndpointAttempt::ReportUnprovenEnd(std::string_view cause, net::SteadyTime until) {
  net::LogLine("answer_end_unproven")
      .With("request", this->request_id)
      .With("endpoint", this->endpoint->entry.id)
      .With("cause", cause)
      .With("ended_together", this->endpoint->ended_together)
      .With("left_ms", net::ToMilliseconds(until - net::Now()).count())
      .With("write", NameOf(this->connection->write))
      .With("received", this->received)
      .With("through", this->through ? this->through->to_string() : "");
  this->gateway.metrics
      .GetCounter("gateway_answer_ends_unproven_total", {{"cause", std::string(cause)}})
      .Add();
}

void EndpointAttempt::ReportBelievedEnd(std::string_view sign, net::SteadyTime until) {
  net::LogLine("answer_end_believed")
      .With("request", this->request_id)
      .With("endpoint", this->endpoint->entry.id)
      .With("sign", sign)
      .With("ended_together", this->endpoint->ended_together)
      .With("left_ms", net::ToMilliseconds(until - net::Now()).count())
      .With("received", this->received)
      .With("ms", net::ToMilliseconds(net::Now() - this->head_at).count())
      .With("through", this->through ? this->through->to_string() : "");
  this->gateway.metrics
      .GetCounter("gateway_answer_ends_believed_total", {{"sign", std::string(sign)}})
      .Add();
}

awaitable<BodyState> EndpointAttempt::StateAtEnd(net::SteadyTime until) {
  if (this->Framing() != AnswerFraming::kConnection) {
    this->RecordEnd(NameOfFramedEnd(this->Framing(), this->Progress().received));
    co_return BodyState::kEnd;
  }
  const AnswerEndTime end{this->gateway.paths.EarliestArrival(), net::Now()};
  this->RecordUnframedEnd();
  // A reset is told to the first call on the socket only. If that is the write of the request, the
  // read sees an end in good order.
  const bool is_written = co_await this->IsRequestWritten(until);
  if (!is_written) {
    this->ReportUnprovenEnd("request_unwritten", until);
    co_return BodyState::kBroken;
  }
  // An endpoint stops its work at the deadline that it was given.
  if (net::Now() >= until) {
    this->ReportUnprovenEnd("time_over", until);
    co_return BodyState::kTimedOut;
  }
  // The system ends the connections of a killed process in good order, too.
  const LifeSign sign =
      co_await EndpointCheck::FindLifeSign(this->gateway, this->connection, end, until);
  // An endpoint that leaves may accept no more connections while it finishes its answers. One that
  // can be had elsewhere needs no such trust.
  const bool is_leaving = this->endpoint->is_leaving || this->endpoint->entry.is_draining;
  const bool is_trusted = sign != LifeSign::kNone || (is_leaving && !this->open.may_repeat);
  if (!is_trusted) {
    this->ReportUnprovenEnd("endpoint_lost", until);
    co_return BodyState::kBroken;
  }
  const std::string_view sign_name = sign != LifeSign::kNone ? NameOf(sign) : "leaving";
  this->ReportBelievedEnd(sign_name, until);
  this->RecordEnd(sign_name);
  co_return BodyState::kEnd;
}

}  // namespace lentilhead::gateway::internal
