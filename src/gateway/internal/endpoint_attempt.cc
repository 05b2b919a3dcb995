#include "gateway/internal/endpoint_attempt.h"

#include <algorithm>
#include <tuple>

#include "gateway/gateway.h"
#include "gateway/internal/stray_bytes.h"
#include "gateway/limit_changes.h"
#include "net/framing.h"
#include "net/log_line.h"
#include "net/socket_options.h"
#include "net/spawn.h"
#include "platform/request_codec.h"

namespace lentilhead::gateway::internal {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

// A failed attempt counts for this much after 2 s. Until then new connections may be reset, too.
constexpr double kRecentFailure = 0.5;
// An endpoint that resets a new connection does so within a round trip and the time to accept it.
constexpr milliseconds kAcceptTime{2};
constexpr int kMaxOtherAnswers = 3;  // answers to other requests to discard
// The buffer grows for answers beyond this, so that they take fewer reads.
constexpr std::size_t kLargeAnswerBytes = 32 << 10;
constexpr std::size_t kLargeReadBytes = 64 << 10;
constexpr std::size_t kSmallReadBytes = 16 << 10;  // while many answers share the memory budget

bool IsOverLimit(const net::ErrorCode& error) {
  return error == net::http::error::header_limit || error == net::http::error::buffer_overflow;
}

/// Tells whether the parser refused the bytes of an answer, rather than missed some.
bool IsMalformed(const net::ErrorCode& error) {
  const net::ErrorCode any_of_parser(net::http::error::bad_value);
  return error.category() == any_of_parser.category() && !IsOverLimit(error) &&
         error != net::http::error::end_of_stream && error != net::http::error::partial_message;
}

BodyState StateAfter(const net::ErrorCode& error) {
  if (error == net::beast::error::timeout) {
    return BodyState::kTimedOut;
  }
  return IsOverLimit(error) ? BodyState::kOverLimit : BodyState::kBroken;
}

/// Waits until an endpoint that resets new connections has reset this one.
/// @param round_trip time that connecting took.
/// @return whether the connection is open and nothing was received on it.
awaitable<bool> OutlivesReset(std::shared_ptr<EndpointConnection> connection,
                              std::chrono::nanoseconds round_trip) {
  net::asio::steady_timer timer(connection->stream.get_executor(), round_trip + kAcceptTime);
  co_await timer.async_wait(net::kAwaitWithError);
  co_return net::IsIdleAndOpen(connection->stream.socket());
}

/// Writes a request, concurrently with the read of its answer.
awaitable<void> WriteRequest(std::shared_ptr<EndpointConnection> connection,
                             std::shared_ptr<net::Request> message, net::MemoryBudget& memory) {
  net::HeldBytes held(&memory);
  held.Set(message->body().capacity());
  const auto [error, written] =
      co_await net::http::async_write(connection->stream, *message, net::kAwaitWithError);
  connection->write = error ? RequestWrite::kFailed : RequestWrite::kDone;
  connection->write_ended.cancel();
}

}  // namespace

EndpointAttempt::EndpointAttempt(Gateway& gateway, std::shared_ptr<EndpointState> endpoint,
                                 CancelScope& cancel)
    : gateway(gateway), endpoint(std::move(endpoint)), cancel(cancel), held(&gateway.memory) {
  this->open.key = this->endpoint->key;
  this->open.end = [this] { this->Interrupt(); };
}

EndpointAttempt::~EndpointAttempt() {
  this->Abort();
  this->gateway.paths.Forget(this->open);
}

void EndpointAttempt::Interrupt() {
  this->is_interrupted = true;
  if (this->connection) {
    this->connection->stream.close();
  }
}

void EndpointAttempt::Abort() {
  this->cancel.OnCancel(nullptr);
  this->gateway.paths.Forget(this->open);
  if (this->connection) {
    this->connection->stream.close();
    this->connection.reset();
  }
}

awaitable<ConnectOutcome> EndpointAttempt::Connect(net::SteadyTime until) {
  this->connection = std::make_shared<EndpointConnection>(this->gateway.executor, this->endpoint);
  const std::shared_ptr<EndpointConnection> held = this->connection;
  this->cancel.OnCancel([held] { held->stream.close(); });
  const ConnectOutcome outcome = co_await this->gateway.paths.Open(held, until, this->cancel);
  co_return this->cancel.IsCancelled() ? ConnectOutcome::kFailed : outcome;
}

awaitable<EndpointAttempt::StartOutcome> EndpointAttempt::Start(net::Request message,
                                                                std::string request_id,
                                                                AttemptLimits limits) {
  const net::SteadyTime started = net::Now();
  const ConnectOutcome connected = co_await this->Connect(limits.answer_by);
  if (connected != ConnectOutcome::kConnected) {
    this->Abort();
    co_return connected == ConnectOutcome::kNoPath ? AttemptFailure::kNoPath
                                                   : AttemptFailure::kNotSent;
  }
  // A request that may run once is lost with its connection, even if the endpoint never read it.
  const bool may_be_reset =
      !this->connection->through && this->endpoint->failures.At(net::Now()) >= kRecentFailure;
  if (!limits.may_repeat && may_be_reset &&
      !co_await OutlivesReset(this->connection, net::Now() - started)) {
    this->gateway.metrics.GetCounter("gateway_connections_reset_unused_total").Add();
    this->Abort();
    co_return AttemptFailure::kNotSent;
  }
  this->target = platform::TargetOf(message);
  const bool is_head_request = message.method() == net::http::verb::head;
  const std::shared_ptr<EndpointConnection> held = this->connection;
  this->cancel.OnCancel([held] { held->stream.close(); });
  this->request_id = std::move(request_id);
  held->request = this->request_id;
  this->discarded = 0;
  this->is_interrupted = false;
  held->sent_at = net::Now();
  this->through = held->through;
  this->open.is_relayed = held->through.has_value();
  this->open.may_repeat = limits.may_repeat;
  this->open.heard_at = held->sent_at;
  this->open.arrived_after = {};
  this->gateway.paths.Watch(this->open);
  held->stream.expires_at(limits.answer_by);
  auto shared_message = std::make_shared<net::Request>(std::move(message));
  net::Spawn(this->gateway.executor, "write_request",
             WriteRequest(held, std::move(shared_message), this->gateway.memory));
  StartOutcome outcome = co_await this->ReadHead(is_head_request, limits.answer_by);
  if (const auto* failure = std::get_if<AttemptFailure>(&outcome)) {
    if (*failure == AttemptFailure::kUnknown && this->IsLostAtOnce(*held)) {
      this->gateway.paths.RecordLost(this->endpoint->key,
                                     net::ToMilliseconds(net::Now() - held->sent_at));
    }
    this->Abort();
  }
  co_return outcome;
}

awaitable<net::ErrorCode> EndpointAttempt::ReadSome(net::SteadyTime until) {
  if (net::Now() >= until) {
    co_return net::ErrorCode(net::beast::error::timeout);
  }
  const std::shared_ptr<EndpointConnection> held = this->connection;
  this->SizeBuffer();
  held->stream.expires_at(until);
  net::ErrorCode error;
  std::size_t read = 0;
  if (this->parser->is_header_done()) {
    std::tie(error, read) = co_await net::http::async_read_some(
        held->stream, held->buffer, *this->parser, net::kAwaitWithError);
  } else {
    std::tie(error, read) = co_await this->ReadHeadPart();
  }
  this->received += read;
  if (read > 0) {
    this->open.heard_at = net::Now();
    this->open.arrived_after = this->gateway.paths.EarliestArrival();
    this->gateway.paths.RecordAnswer();
  }
  co_return error;
}

awaitable<std::tuple<net::ErrorCode, std::size_t>> EndpointAttempt::ReadHeadPart() {
  const std::shared_ptr<EndpointConnection> held = this->connection;
  std::size_t parsed = 0;
  while (true) {
    if (held->buffer.size() > 0) {
      const auto bytes = held->buffer.cdata();
      if (net::HasFoldedLine({static_cast<const char*>(bytes.data()), bytes.size()})) {
        co_return std::tuple(net::ErrorCode(net::http::error::bad_value), parsed);
      }
      net::ErrorCode error;
      const std::size_t used = this->parser->put(bytes, error);
      held->buffer.consume(used);
      parsed += used;
      if (error != net::http::error::need_more) {
        co_return std::tuple(error, parsed);
      }
    }
    const std::size_t space =
        std::min(kSmallReadBytes, held->buffer.max_size() - held->buffer.size());
    if (space == 0) {
      co_return std::tuple(net::ErrorCode(net::http::error::buffer_overflow), parsed);
    }
    const auto [error, read] =
        co_await held->stream.async_read_some(held->buffer.prepare(space), net::kAwaitWithError);
    held->buffer.commit(read);
    if (error) {
      co_return std::tuple(error, parsed);
    }
  }
}

void EndpointAttempt::ReportMalformed(std::string_view problem) {
  net::LogLine("answer_malformed")
      .With("request", this->request_id)
      .With("endpoint", this->endpoint->entry.id)
      .With("problem", problem)
      .With("status", this->parser->is_header_done() ? this->parser->get().result_int() : 0)
      .With("received", this->received);
  this->gateway.metrics
      .GetCounter("gateway_answers_malformed_total", {{"problem", std::string(problem)}})
      .Add();
}

void EndpointAttempt::SizeBuffer() {
  net::beast::flat_buffer& buffer = this->connection->buffer;
  if (this->received <= kLargeAnswerBytes) {
    return;
  }
  if (!this->gateway.memory.IsTight()) {
    buffer.reserve(kLargeReadBytes);
  } else if (buffer.size() == 0 && buffer.capacity() > kSmallReadBytes) {
    buffer.shrink_to_fit();
    buffer.reserve(kSmallReadBytes);
  }
}

void EndpointAttempt::CountHeld(std::size_t collected) {
  this->held.Set(collected + (this->connection ? this->connection->buffer.capacity() : 0));
}

void EndpointAttempt::AbortForSize() {
  const std::size_t unread = this->connection->buffer.size();
  this->AbortOverLimit(this->parser->is_header_done() ? AnswerBound::kFraming : AnswerBound::kHead,
                       unread);
}

void EndpointAttempt::AbortOverLimit(AnswerBound bound, std::size_t amount) {
  net::LogLine("answer_over_limit")
      .With("request", this->request_id)
      .With("endpoint", this->endpoint->entry.id)
      .With("bound", NameOf(bound))
      .With("bytes", amount)
      .With("limit", LimitOf(bound))
      .With("received", this->received);
  this->gateway.metrics
      .GetCounter("gateway_answers_over_limit_total", {{"bound", std::string(NameOf(bound))}})
      .Add();
  this->Abort();
}

void EndpointAttempt::AbortAtEvent(EventVerdict verdict, std::optional<std::int64_t> last,
                                   std::optional<std::int64_t> found) {
  net::LogLine("stream_not_continued")
      .With("request", this->request_id)
      .With("endpoint", this->endpoint->entry.id)
      .With("cause", NameOf(verdict))
      .With("last_of_answer", last.value_or(-1))
      .With("found", found.value_or(-1))
      .With("received", this->received);
  this->gateway.metrics
      .GetCounter("gateway_streams_not_continued_total", {{"cause", std::string(NameOf(verdict))}})
      .Add();
  this->Abort();
}

awaitable<std::optional<AttemptFailure>> EndpointAttempt::DiscardAnswer(net::SteadyTime until) {
  while (!this->parser->is_done()) {
    const net::ErrorCode error = co_await this->ReadSome(until);
    if (error) {
      co_return this->FailureOf(error);
    }
    this->parser->get().body().clear();
    if (this->discarded + this->received > AnswerLimits::kMaxDiscardedBytes) {
      this->AbortOverLimit(AnswerBound::kDiscarded, this->discarded + this->received);
      co_return AttemptFailure::kOverLimit;
    }
  }
  this->discarded += this->received;
  co_return std::nullopt;
}

bool EndpointAttempt::IsLostAtOnce(const EndpointConnection& used) const {
  return !used.through && !this->is_interrupted && this->NothingRead(used) &&
         !this->cancel.IsCancelled();
}

bool EndpointAttempt::NothingRead(const EndpointConnection& used) const {
  return used.buffer.size() == 0 && !this->parser->got_some() && this->discarded == 0;
}

AttemptFailure EndpointAttempt::FailureOf(const net::ErrorCode& error) {
  if (error == net::beast::error::timeout) {
    return AttemptFailure::kTimedOut;
  }
  if (IsOverLimit(error)) {
    this->AbortForSize();
    return AttemptFailure::kOverLimit;
  }
  return AttemptFailure::kUnknown;
}

awaitable<net::ErrorCode> EndpointAttempt::ReadNextHead(bool is_head_request,
                                                        net::SteadyTime until) {
  this->parser = std::make_unique<Parser>();
  this->scan.emplace(this->request_id);
  this->parser->header_limit(AnswerLimits::kMaxHeadBytes);
  this->parser->body_limit(boost::none);
  this->parser->skip(is_head_request);
  this->received = 0;
  this->end.reset();
  net::ErrorCode error;
  while (!error && !this->parser->is_header_done()) {
    error = co_await this->ReadSome(until);
  }
  this->head_bytes = this->received;
  this->head_at = net::Now();
  co_return error;
}

awaitable<EndpointAttempt::StartOutcome> EndpointAttempt::ReadHead(bool is_head_request,
                                                                   net::SteadyTime until) {
  std::size_t interim_heads = 0;
  int other_answers = 0;
  while (other_answers <= kMaxOtherAnswers) {
    const net::ErrorCode error = co_await this->ReadNextHead(is_head_request, until);
    if (error) {
      if (IsMalformed(error)) {
        this->ReportMalformed("syntax");
      }
      co_return this->FailureOf(error);
    }
    if (const auto problem = net::ProblemOf(this->parser->get().base())) {
      this->ReportMalformed(net::NameOf(*problem));
      co_return AttemptFailure::kUnknown;
    }
    if (platform::IsJoined(this->parser->get().base())) {
      this->ReportMalformed("second_head");
      co_return AttemptFailure::kUnknown;
    }
    const bool is_interim = this->parser->get().result_int() / 100 == 1;
    if (is_interim && ++interim_heads > AnswerLimits::kMaxInterimHeads) {
      this->AbortOverLimit(AnswerBound::kInterimHeads, interim_heads);
      co_return AttemptFailure::kOverLimit;
    }
    if (is_interim) {
      this->discarded += this->received;
      continue;
    }
    AnswerHead answer{this->parser->get().base(), {}, this->Framing()};
    answer.decoded = platform::DecodeAnswer(answer.head, this->target);
    this->RecordIfLeaving(answer.decoded);
    const bool is_success = answer.head.result_int() / 100 == 2;
    const std::string& answered = answer.decoded.request_id;
    if (answered == this->request_id || (answered.empty() && !is_success)) {
      this->RecordLimit(answer.decoded);
      const std::uint64_t length = this->parser->content_length().value_or(0);
      if (!is_head_request && length > AnswerLimits::kMaxAnswerBytes) {
        this->AbortOverLimit(AnswerBound::kAnswer, length);
        co_return AttemptFailure::kOverLimit;
      }
      co_return answer;
    }
    ReportStrayBytes(this->gateway.metrics, *this->connection, StrayPlace::kBeforeAnswer,
                     this->received);
    const std::optional<AttemptFailure> failure = co_await this->DiscardAnswer(until);
    if (failure) {
      co_return *failure;
    }
    ++other_answers;
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

void EndpointAttempt::RecordLimit(const EndpointAnswer& answer) {
  // A refusal without a limit may come from a part of the endpoint that knows none.
  const bool says_nothing =
      answer.not_executed && std::holds_alternative<NoLimitNamed>(answer.limit);
  if (answer.other_instance || says_nothing) {
    return;
  }
  const std::uint32_t incarnation = this->endpoint->incarnation;
  const LimitChange change = this->gateway.registry.RecordLimit(
      *this->endpoint, answer.limit, this->connection->sent_at, net::Now());
  ReportLimitChange(this->gateway, incarnation, change, "answer");
}

AnswerFraming EndpointAttempt::Framing() const {
  if (this->parser->chunked()) {
    return AnswerFraming::kChunks;
  }
  return this->parser->need_eof() ? AnswerFraming::kConnection : AnswerFraming::kLength;
}

void EndpointAttempt::Finish() {
  const std::size_t stray = this->connection->buffer.size();
  if (stray > 0) {
    ReportStrayBytes(this->gateway.metrics, *this->connection, StrayPlace::kAfterAnswer, stray);
  }
  const bool may_stay_open = this->parser->keep_alive() && !this->parser->need_eof() &&
                             this->connection->write == RequestWrite::kDone && stray == 0 &&
                             !this->through;
  if (may_stay_open) {
    this->gateway.idle_connections.Keep(std::move(this->connection), net::Now());
  }
  this->Abort();
}

void EndpointAttempt::AbortAfter(const net::ErrorCode& error) {
  if (IsOverLimit(error)) {
    this->AbortForSize();
  } else {
    this->Abort();
  }
}

BodyProgress EndpointAttempt::Progress() const {
  BodyProgress progress{this->received - this->head_bytes, std::nullopt,
                        net::ToMilliseconds(net::Now() - this->head_at)};
  if (this->parser && this->parser->content_length()) {
    progress.left = this->parser->content_length_remaining().value_or(0);
  }
  return progress;
}

awaitable<BodyPiece> EndpointAttempt::ReadPiece(net::SteadyTime until) {
  BodyPiece piece = co_await this->ReadPart(until);
  if (piece.state != BodyState::kEnd) {
    co_return piece;
  }
  const bool has_second_answer = co_await this->EndsInSecondAnswer(until);
  if (has_second_answer) {
    piece = {{}, piece.received, BodyState::kBroken};
    this->AbortAtSecondAnswer();
    co_return piece;
  }
  piece.is_followed = this->connection->buffer.size() > 0;
  piece.state = co_await this->StateAtEnd(until);
  this->Finish();
  co_return piece;
}

awaitable<BodyPiece> EndpointAttempt::ReadPart(net::SteadyTime until) {
  BodyPiece piece;
  if (!this->connection) {
    piece.state = BodyState::kBroken;
    co_return piece;
  }
  if (!this->parser->is_done()) {
    const std::size_t before = this->received;
    const net::ErrorCode error = co_await this->ReadSome(until);
    piece.bytes = std::exchange(this->parser->get().body(), std::string());
    piece.received = this->received - before;
    if (error) {
      piece.state = StateAfter(error);
      this->AbortAfter(error);
      co_return piece;
    }
    this->scan->Add(piece.bytes);
    if (this->scan->IsFound()) {
      this->AbortAtSecondAnswer();
      co_return BodyPiece{{}, piece.received, BodyState::kBroken};
    }
    if (this->received > AnswerLimits::kMaxAnswerBytes) {
      piece.state = BodyState::kOverLimit;
      this->AbortOverLimit(AnswerBound::kAnswer, this->received);
      co_return piece;
    }
  }
  if (this->parser->is_done()) {
    piece.state = BodyState::kEnd;
  }
  co_return piece;
}

awaitable<BodyPiece> EndpointAttempt::ReadRest(std::size_t most, net::SteadyTime until) {
  BodyPiece all;
  while (all.state == BodyState::kMore && all.bytes.size() < most) {
    BodyPiece piece = co_await this->ReadPiece(until);
    all.bytes += piece.bytes;
    all.state = piece.state;
    all.is_followed = piece.is_followed;
    this->CountHeld(all.bytes.capacity());
    if (all.state == BodyState::kMore && this->held.MustPause()) {
      this->gateway.metrics.GetCounter("gateway_reads_paused_total").Add();
      break;
    }
  }
  this->CountHeld(0);
  co_return all;
}

awaitable<BodyState> EndpointAttempt::Discard(net::SteadyTime until) {
  const net::SteadyTime limit = std::min(until, net::Now() + AnswerLimits::kMaxDiscardTime);
  BodyPiece piece;
  std::size_t bytes = 0;
  while (piece.state == BodyState::kMore) {
    piece = co_await this->ReadPart(limit);
    bytes += piece.received;
    if (piece.state == BodyState::kMore && bytes > AnswerLimits::kMaxDiscardedBytes) {
      piece.state = BodyState::kOverLimit;
      this->AbortOverLimit(AnswerBound::kDiscarded, bytes);
    }
  }
  if (piece.state == BodyState::kEnd) {
    this->Finish();
  }
  co_return piece.state;
}

}  // namespace lentilhead::gateway::internal
