#include "gateway/internal/endpoint_attempt.h"

#include <algorithm>

#include "gateway/gateway.h"
#include "net/log_line.h"
#include "net/socket_options.h"
#include "net/spawn.h"
#include "platform/request_codec.h"

namespace lentilhead::gateway::internal {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kConnectLimit{
    150};  // far above a round trip; then another endpoint is tried
constexpr milliseconds kTcpSilenceTimeout{2000};  // as long as callers wait for the next event
constexpr milliseconds kIdleMargin{700};  // reuse ends this long before the endpoint's limit
// If the endpoint states none; those close connections after slightly more.
constexpr milliseconds kDefaultIdleLimit{1000};
constexpr milliseconds kMaxStaleResetDelay{40};  // the reset arrives within a round trip
constexpr milliseconds kMinStaleIdle{50};  // a reset after less idle time is due to the request
constexpr std::uint32_t kMaxHeadBytes = 64 << 10;  // far above the size of real heads
constexpr int kMaxLateAnswers = 3;                 // answers to earlier requests to discard

/// Writes a request, concurrently with the read of its answer.
awaitable<void> WriteRequest(ConnectionPool::Connection connection,
                             std::shared_ptr<net::Request> message) {
  const auto [error, written] =
      co_await net::http::async_write(connection->stream, *message, net::kAwaitWithError);
  if (!error) {
    connection->is_written = true;
  }
}

}  // namespace

EndpointAttempt::EndpointAttempt(Gateway& gateway, std::shared_ptr<EndpointState> endpoint,
                                 CancelScope& cancel)
    : gateway(gateway), endpoint(std::move(endpoint)), cancel(cancel) {}

void EndpointAttempt::Interrupt() {
  if (this->connection) {
    this->connection->stream.close();
  }
}

void EndpointAttempt::Abort() {
  this->cancel.OnCancel(nullptr);
  if (this->connection) {
    this->connection->stream.close();
    this->connection.reset();
  }
}

awaitable<bool> EndpointAttempt::Connect(net::SteadyTime until, milliseconds longest_idle) {
  this->connection = this->gateway.pool.Take(*this->endpoint, longest_idle, net::Now());
  if (this->connection) {
    co_return true;
  }
  this->connection = std::make_shared<EndpointConnection>(this->gateway.executor, this->endpoint);
  const ConnectionPool::Connection held = this->connection;
  this->cancel.OnCancel([held] { held->stream.close(); });
  held->stream.expires_at(std::min(until, net::Now() + kConnectLimit));
  const auto [error] =
      co_await held->stream.async_connect(this->endpoint->entry.address, net::kAwaitWithError);
  if (error || this->cancel.IsCancelled()) {
    co_return false;
  }
  net::SetSocketOptions(held->stream.socket(), kTcpSilenceTimeout);
  co_return true;
}

awaitable<EndpointAttempt::StartOutcome> EndpointAttempt::Start(net::Request message,
                                                                std::string request_id,
                                                                AttemptLimits limits) {
  const bool connected = co_await this->Connect(limits.answer_by, limits.longest_idle);
  if (!connected) {
    this->Abort();
    co_return AttemptFailure::kNotSent;
  }
  const bool is_head_request = message.method() == net::http::verb::head;
  const ConnectionPool::Connection held = this->connection;
  this->cancel.OnCancel([held] { held->stream.close(); });
  held->is_written = false;
  held->sent_at = net::Now();
  held->stream.expires_at(limits.answer_by);
  auto shared_message = std::make_shared<net::Request>(std::move(message));
  net::Spawn(this->gateway.executor, "write_request",
             WriteRequest(held, std::move(shared_message)));
  StartOutcome outcome =
      co_await this->ReadHead(std::move(request_id), is_head_request, limits.answer_by);
  if (const auto* failure = std::get_if<AttemptFailure>(&outcome)) {
    if (*failure == AttemptFailure::kStale) {
      EndpointFeedback::RecordStaleConnection(*this->endpoint, held->idle_before, net::Now());
    }
    this->Abort();
  }
  co_return outcome;
}

awaitable<bool> EndpointAttempt::DiscardAnswer(net::SteadyTime until) {
  BodyState state = BodyState::kMore;
  while (state == BodyState::kMore) {
    this->connection->stream.expires_at(until);
    const auto [error, read] = co_await net::http::async_read_some(
        this->connection->stream, this->connection->buffer, *this->parser, net::kAwaitWithError);
    if (error) {
      co_return false;
    }
    this->parser->get().body().clear();
    state = this->parser->is_done() ? BodyState::kEnd : BodyState::kMore;
  }
  co_return true;
}

AttemptFailure EndpointAttempt::FailureOf(const net::ErrorCode& error) const {
  if (error == net::beast::error::timeout) {
    return AttemptFailure::kTimedOut;
  }
  const EndpointConnection& used = *this->connection;
  const bool nothing_read = used.buffer.size() == 0 && !this->parser->got_some();
  const bool was_prompt = net::Now() - used.sent_at < kMaxStaleResetDelay;
  const bool was_idle = used.is_reused && used.idle_before >= kMinStaleIdle;
  return was_idle && nothing_read && was_prompt && !this->cancel.IsCancelled()
             ? AttemptFailure::kStale
             : AttemptFailure::kUnknown;
}

awaitable<EndpointAttempt::StartOutcome> EndpointAttempt::ReadHead(std::string request_id,
                                                                   bool is_head_request,
                                                                   net::SteadyTime until) {
  for (int answers = 0; answers <= kMaxLateAnswers; ++answers) {
    this->parser = std::make_unique<Parser>();
    this->parser->header_limit(kMaxHeadBytes);
    this->parser->body_limit(boost::none);
    this->parser->skip(is_head_request);
    this->connection->stream.expires_at(until);
    const auto [error, read] = co_await net::http::async_read_header(
        this->connection->stream, this->connection->buffer, *this->parser, net::kAwaitWithError);
    if (error) {
      co_return this->FailureOf(error);
    }
    AnswerHead answer{this->parser->get().base(), {}, this->Framing()};
    answer.decoded = platform::DecodeAnswer(answer.head);
    this->RecordIfLeaving(answer.decoded);
    const bool is_success = answer.head.result_int() / 100 == 2;
    const std::string& answered = answer.decoded.request_id;
    if (answered == request_id || (answered.empty() && !is_success)) {
      co_return answer;
    }
    const bool passed = co_await this->DiscardAnswer(until);
    if (!passed) {
      co_return AttemptFailure::kUnknown;
    }
  }
  co_return AttemptFailure::kUnknown;
}

void EndpointAttempt::RecordIfLeaving(const EndpointAnswer& answer) {
  if (!answer.is_leaving || answer.other_instance) {
    return;
  }
  const bool is_new = EndpointFeedback::RecordLeaving(*this->endpoint, net::Now());
  if (!is_new) {
    return;
  }
  net::LogLine("endpoint_leaving")
      .With("endpoint", this->endpoint->entry.id)
      .With("source", "answer")
      .With("request", answer.request_id)
      .With("listed", this->endpoint->listed)
      .With("own", this->endpoint->OwnTotal());
  this->gateway.metrics.GetCounter("gateway_endpoints_leaving_total", {{"source", "answer"}}).Add();
}

AnswerFraming EndpointAttempt::Framing() const {
  if (this->parser->chunked()) {
    return AnswerFraming::kChunks;
  }
  return this->parser->need_eof() ? AnswerFraming::kConnection : AnswerFraming::kLength;
}

void EndpointAttempt::Finish() {
  const bool reusable = this->parser->keep_alive() && !this->parser->need_eof() &&
                        this->connection->is_written && this->connection->buffer.size() == 0;
  if (!reusable) {
    this->Abort();
    return;
  }
  this->cancel.OnCancel(nullptr);
  const EndpointAnswer decoded = platform::DecodeAnswer(this->parser->get().base());
  this->connection->idle_limit =
      decoded.idle_limit ? milliseconds(*decoded.idle_limit) - kIdleMargin : kDefaultIdleLimit;
  this->gateway.pool.Return(std::move(this->connection), net::Now());
  this->connection.reset();
}

awaitable<BodyPiece> EndpointAttempt::ReadPiece(net::SteadyTime until) {
  BodyPiece piece;
  if (!this->connection) {
    piece.state = BodyState::kBroken;
    co_return piece;
  }
  if (!this->parser->is_done()) {
    this->connection->stream.expires_at(until);
    const auto [error, read] = co_await net::http::async_read_some(
        this->connection->stream, this->connection->buffer, *this->parser, net::kAwaitWithError);
    piece.bytes = std::exchange(this->parser->get().body(), std::string());
    if (error) {
      const bool late = error == net::beast::error::timeout;
      piece.state = late ? BodyState::kTimedOut : BodyState::kBroken;
      this->Abort();
      co_return piece;
    }
  }
  if (this->parser->is_done()) {
    piece.state = BodyState::kEnd;
    this->Finish();
  }
  co_return piece;
}

awaitable<BodyPiece> EndpointAttempt::ReadRest(std::size_t most, net::SteadyTime until) {
  BodyPiece all;
  while (all.state == BodyState::kMore && all.bytes.size() < most) {
    BodyPiece piece = co_await this->ReadPiece(until);
    all.bytes += piece.bytes;
    all.state = piece.state;
  }
  co_return all;
}

}  // namespace lentilhead::gateway::internal
