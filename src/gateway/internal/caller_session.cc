#include "gateway/caller_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <tuple>
#include <utility>

#include "net/acknowledged_bytes.h"
#include "net/socket_options.h"

namespace lentilhead::gateway {

namespace {

using net::asio::awaitable;
using std::chrono::milliseconds;

// A link may fail for 5 s while its caller still waits for an answer.
constexpr milliseconds kTcpSilenceTimeout{6000};
constexpr milliseconds kBodyTimeout{10000};  // allows the largest body over a slow link
// A connection that has just been opened, or answered on, may be about to carry a request.
constexpr milliseconds kFirstRequestTime{300};
constexpr std::size_t kReadBytes = 4096;              // bytes per read from the socket
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;  // read ahead while a request is in flight
// Room for a read of the body, the head of a chunk with its extensions, or the trailer.
constexpr std::size_t kMaxFramingBytes = 64 << 10;
constexpr milliseconds kLongWrite{500};  // most writes end at once; only longer ones are watched
// While its answer is awaited, a body is held as received and as sent.
constexpr std::size_t kHeldBodyCopies = 2;

ReadProblem ProblemOf(const net::ErrorCode& error) {
  if (error == net::http::error::header_limit) {
    return ReadProblem::kHeaderTooLarge;
  }
  if (error == net::http::error::body_limit) {
    return ReadProblem::kBodyTooLarge;
  }
  const bool from_parser =
      error.category() == net::http::make_error_code(net::http::error::bad_method).category();
  const bool is_cut =
      error == net::http::error::end_of_stream || error == net::http::error::partial_message;
  return from_parser && !is_cut ? ReadProblem::kMalformed : ReadProblem::kClosed;
}

/// Whether answers with a status have no body.
bool HasNoBody(net::http::status status) {
  return net::http::to_status_class(status) == net::http::status_class::informational ||
         status == net::http::status::no_content || status == net::http::status::not_modified;
}

}  // namespace

CallerSession::CallerSession(net::tcp::socket socket, const bool& stop, net::MemoryBudget* memory)
    : stream(std::move(socket)), idle_timer(this->stream.get_executor()), stop(stop), held(memory) {
  net::SetSocketOptions(this->stream.socket(), kTcpSilenceTimeout);
}

void CallerSession::WatchIdleTime(const LimitsSource& limits) {
  this->idle_timer.expires_at(this->idle_since + limits().idle_timeout);
  this->idle_timer.async_wait(
      [self = this->shared_from_this(), limits](const net::ErrorCode& error) {
        if (error || !self->is_idle) {
          return;
        }
        if (net::Now() < self->idle_since + limits().idle_timeout) {
          self->WatchIdleTime(limits);
        } else {
          self->EndIdleWait();
        }
      });
}

awaitable<bool> CallerSession::AwaitFirstByte(const LimitsSource& limits) {
  if (this->buffer.size() > 0) {
    co_return true;
  }
  this->stream.expires_never();  // it would close the socket even if bytes have arrived
  this->WatchIdleTime(limits);
  const auto [error, read] =
      co_await this->stream.async_read_some(this->buffer.prepare(kReadBytes), net::kAwaitWithError);
  this->idle_timer.cancel();
  this->buffer.commit(read);
  co_return !error;
}

awaitable<net::ErrorCode> CallerSession::ReadWhole(Parser& parser, CallerLimits limits) {
  this->stream.expires_after(limits.header_timeout);
  const auto [head_error, head_read] = co_await net::http::async_read_header(
      this->stream, this->buffer, parser, net::kAwaitWithError);
  if (head_error) {
    co_return head_error;
  }
  this->stream.expires_after(kBodyTimeout);
  const std::uint64_t length = parser.content_length().value_or(0);
  if (this->held.Budget() != nullptr && !this->held.Budget()->AdmitsBody(length)) {
    this->lacks_memory = true;
  } else {
    this->request_bytes = kHeldBodyCopies * length;
    this->CountHeld();
  }
  const bool awaits_consent =
      net::beast::iequals(parser.get()[net::http::field::expect], "100-continue");
  if (awaits_consent && this->lacks_memory) {
    co_return net::ErrorCode();  // the caller has not sent the body
  }
  if (awaits_consent) {
    net::http::response<net::http::empty_body> go_on(net::http::status::continue_, 11);
    const auto [error, written] =
        co_await net::http::async_write(this->stream, go_on, net::kAwaitWithError);
    if (error) {
      co_return error;
    }
  }
  std::optional<net::http::request_header<>> head;
  if (parser.chunked()) {
    head = parser.get().base();
  }
  const net::ErrorCode body_error = co_await this->ReadBody(parser);
  if (!body_error && head) {
    parser.get().base() = std::move(*head);  // fields of the trailer must not act as headers
  }
  co_return body_error;
}

awaitable<net::ErrorCode> CallerSession::ReadBody(Parser& parser) {
  net::ErrorCode failed;
  while (!failed && !parser.is_done()) {
    const auto [error, read] = co_await net::http::async_read_some(this->stream, this->buffer,
                                                                   parser, net::kAwaitWithError);
    failed = error;
    const std::size_t body_bytes = parser.get().body().size();
    if (!this->lacks_memory && kHeldBodyCopies * body_bytes > this->request_bytes) {
      // A body of unknown length grows; what it held before is counted already.
      this->lacks_memory =
          this->held.Budget() != nullptr && !this->held.Budget()->AdmitsBody(body_bytes);
      this->request_bytes = kHeldBodyCopies * body_bytes;
    }
    if (this->lacks_memory) {
      parser.get().body() = std::string();
      this->request_bytes = 0;
    }
    this->CountHeld();
  }
  co_return failed;
}

awaitable<std::variant<net::Request, ReadProblem>> CallerSession::ReadRequest(LimitsSource source) {
  this->is_idle = true;
  this->idle_since = net::Now();
  this->answer_begun = false;
  this->gathered.reset();
  this->lacks_memory = false;
  this->request_bytes = 0;
  this->request_id.clear();
  this->CountHeld();
  const bool begun = co_await this->AwaitFirstByte(source);
  if (!begun) {
    co_return ReadProblem::kClosed;
  }
  this->is_idle = false;
  const CallerLimits limits = source();
  this->buffer.max_size(std::max<std::size_t>(limits.header_bytes, kMaxPipelinedBytes) +
                        kMaxFramingBytes);
  Parser parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  const net::ErrorCode error = co_await this->ReadWhole(parser, limits);
  if (error) {
    this->keep_alive = false;
    co_return ProblemOf(error);
  }
  if (this->lacks_memory) {
    this->keep_alive = false;
    co_return ReadProblem::kNoMemory;
  }
  net::Request request = parser.release();
  this->keep_alive = request.keep_alive();
  this->is_head_request = request.method() == net::http::verb::head;
  this->takes_chunks = request.version() >= 11;
  co_return request;
}

void CallerSession::StartWatch(CancelScope& scope) {
  this->watched = &scope;
  this->Watch();
}

void CallerSession::Watch() {
  if (this->wait_pending || !this->is_open) {
    return;
  }
  this->wait_pending = true;
  this->stream.socket().async_wait(
      net::tcp::socket::wait_read,
      [self = this->shared_from_this()](net::ErrorCode error) { self->OnReadable(error); });
}

void CallerSession::OnReadable(net::ErrorCode error) {
  this->wait_pending = false;
  if (this->watched == nullptr || error == net::asio::error::operation_aborted) {
    return;
  }
  if (!error && this->TakeAvailable()) {
    if (this->buffer.size() < kMaxPipelinedBytes) {
      this->Watch();
    }
    return;
  }
  this->is_open = false;
  CancelScope* scope = std::exchange(this->watched, nullptr);
  scope->Cancel();
}

bool CallerSession::TakeAvailable() {
  const auto space = this->buffer.prepare(kReadBytes);
  const ssize_t read =
      ::recv(this->stream.socket().native_handle(), space.data(), kReadBytes, MSG_DONTWAIT);
  if (read > 0) {
    this->buffer.commit(static_cast<std::size_t>(read));
    return true;
  }
  return read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

bool CallerSession::ClosesAfterAnswer() const {
  // A further request that has been read already is answered, too.
  return this->stop && this->buffer.size() == 0;
}

awaitable<bool> CallerSession::Send(net::Response response, net::SteadyTime until) {
  if (!this->is_open) {
    co_return false;
  }
  this->keep_alive = this->keep_alive && !this->ClosesAfterAnswer();
  this->answer_begun = true;
  response.version(11);
  response.keep_alive(this->keep_alive);
  if (HasNoBody(response.result())) {
    response.body().clear();  // callers read no body, whatever length is stated
    response.content_length(boost::none);
  } else if (!this->is_head_request) {
    response.prepare_payload();
  }
  this->stream.expires_at(until);
  net::http::response_serializer<net::http::string_body> serializer(response);
  std::size_t sent = 0;
  this->BeginWrite(response.body().capacity());
  net::ErrorCode failed;
  if (this->is_head_request) {
    const auto [error, written] =
        co_await net::http::async_write_header(this->stream, serializer, net::kAwaitWithError);
    failed = error;
    sent = written;
  } else {
    const auto [error, written] =
        co_await net::http::async_write(this->stream, serializer, net::kAwaitWithError);
    failed = error;
    sent = written;
  }
  this->EndWrite();
  if (failed || !this->keep_alive) {
    this->is_open = false;
  }
  co_return !failed && sent > 0;
}

awaitable<bool> CallerSession::BeginChunks(net::http::response_header<> head,
                                           net::SteadyTime until) {
  if (!this->is_open) {
    co_return false;
  }
  this->keep_alive = this->keep_alive && !this->ClosesAfterAnswer();
  this->answer_begun = true;
  this->sends_chunks = !this->is_head_request && !HasNoBody(head.result());
  if (!this->takes_chunks && this->sends_chunks) {
    this->gathered.emplace(std::move(head));
    co_return true;
  }
  net::http::response<net::http::empty_body> response(std::move(head));
  response.version(11);
  response.keep_alive(this->keep_alive);
  response.chunked(this->sends_chunks);
  net::http::response_serializer<net::http::empty_body> serializer(response);
  this->stream.expires_at(until);
  const auto [error, written] =
      co_await net::http::async_write_header(this->stream, serializer, net::kAwaitWithError);
  co_return !error;
}

awaitable<bool> CallerSession::SendChunk(std::string bytes, net::SteadyTime until) {
  if (bytes.empty() || !this->sends_chunks) {
    co_return true;  // a chunk without bytes is the last one
  }
  if (this->gathered) {
    this->gathered->body() += bytes;
    this->request_bytes += bytes.size();
    this->CountHeld();
    co_return true;
  }
  this->stream.expires_at(until);
  const auto chunk = net::http::make_chunk(net::asio::buffer(bytes));
  this->BeginWrite(bytes.capacity());
  const auto [error, written] =
      co_await net::asio::async_write(this->stream, chunk, net::kAwaitWithError);
  this->EndWrite();
  co_return !error;
}

awaitable<bool> CallerSession::EndChunks(net::SteadyTime until) {
  if (this->gathered) {
    net::Response whole = *std::exchange(this->gathered, std::nullopt);
    co_return co_await this->Send(std::move(whole), until);
  }
  this->stream.expires_at(until);
  net::ErrorCode error;
  if (this->sends_chunks) {
    const auto last = net::http::make_chunk_last();
    std::tie(error, std::ignore) =
        co_await net::asio::async_write(this->stream, last, net::kAwaitWithError);
  }
  if (error || !this->keep_alive) {
    this->is_open = false;
  }
  co_return !error;
}

void CallerSession::Abort() {
  this->is_open = false;
  this->watched = nullptr;
  this->stream.close();
}

void CallerSession::BeginWrite(std::size_t bytes) {
  this->answer_bytes = bytes;
  this->write_began = net::Now();
  this->held.BeginWrite(this->write_began);
  this->CountHeld();
}

void CallerSession::EndWrite() {
  this->answer_bytes = 0;
  this->held.EndWrite();
  this->CountHeld();
}

void CallerSession::CountHeld() {
  this->held.Set(this->request_bytes + this->answer_bytes + this->buffer.capacity());
}

net::asio::ip::address CallerSession::Caller() const {
  net::ErrorCode ignored;
  return this->stream.socket().remote_endpoint(ignored).address();
}

void CallerSession::RecordTaken(net::SteadyTime now) {
  if (this->answer_bytes == 0 || now - this->write_began < kLongWrite) {
    return;
  }
  const std::optional<std::uint64_t> bytes =
      net::AcknowledgedBytes(this->stream.socket().native_handle());
  if (bytes && this->held.Budget() != nullptr) {
    this->held.Budget()->RecordAcknowledged(this->held.Number(), *bytes, now);
  }
}

void CallerSession::EndSlowReader() {
  net::ErrorCode ignored;
  this->stream.socket().set_option(net::asio::socket_base::linger(true, 0), ignored);
  // The write in progress fails; its bytes are freed in this turn of the loop or the next.
  this->request_bytes = 0;
  this->EndWrite();
  this->is_open = false;
  this->stream.close();
}

void CallerSession::CloseIfIdle(net::SteadyTime now) {
  if (now - this->idle_since >= kFirstRequestTime) {
    this->EndIdleWait();
  }
}

void CallerSession::EndIdleWait() {
  // Cancels the read and leaves the socket open. Bytes that were read from the socket, but not yet
  // delivered to the coroutine, belong to a request that must be answered; their read completes in
  // spite of the cancellation.
  if (this->is_idle && this->buffer.size() == 0 && net::IsIdleAndOpen(this->stream.socket())) {
    this->stream.cancel();
  }
}

}  // namespace lentilhead::gateway
