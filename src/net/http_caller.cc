#include "net/http_caller.h"

#include <optional>

#include "net/socket_options.h"

namespace lentilhead::net {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kIdleTimeout{2000};  // shorter than the idle timeout of common servers
// The kernel closes a connection whose data stays unacknowledged for this time.
constexpr milliseconds kSilenceTimeout{2000};
// TCP sends a lost SYN again only after a second; a new connection attempt is faster.
constexpr milliseconds kConnectTimeout{800};
constexpr std::size_t kMaxIdleConnections = 4;  // bounds the descriptors per server
}  // namespace

HttpCaller::HttpCaller(asio::any_io_executor executor, tcp::endpoint address)
    : executor(std::move(executor)), address(std::move(address)) {}

void HttpCaller::SetAddress(const tcp::endpoint& address) {
  if (address == this->address) {
    return;
  }
  this->address = address;
  this->idle.clear();
}

void HttpCaller::EndReads() {
  for (Connection* connection : *this->reads) {
    connection->stream.close();
  }
}

std::unique_ptr<HttpCaller::Connection> HttpCaller::TakeIdle() {
  while (!this->idle.empty()) {
    std::unique_ptr<Connection> connection = std::move(this->idle.back());
    this->idle.pop_back();
    if (Now() - connection->idle_since < kIdleTimeout &&
        IsIdleAndOpen(connection->stream.socket())) {
      return connection;
    }
  }
  return nullptr;
}

void HttpCaller::ReturnIdle(std::unique_ptr<Connection> connection, const tcp::endpoint& server) {
  if (server != this->address || this->idle.size() >= kMaxIdleConnections ||
      connection->buffer.size() > 0) {
    return;
  }
  connection->stream.expires_never();
  connection->idle_since = Now();
  this->idle.push_back(std::move(connection));
}

asio::awaitable<HttpCaller::Outcome> HttpCaller::Call(Request request, milliseconds timeout,
                                                      std::uint64_t most_bytes) {
  const SteadyTime deadline = Now() + timeout;
  const tcp::endpoint server = this->address;
  std::unique_ptr<Connection> connection = this->TakeIdle();
  const bool is_new = connection == nullptr;
  if (is_new) {
    connection = std::make_unique<Connection>(this->executor);
  }
  std::optional<ReadEntry> entry(std::in_place, this->reads, request, *connection);
  if (is_new) {
    connection->stream.expires_at(std::min(deadline, Now() + kConnectTimeout));
    const auto [error] = co_await connection->stream.async_connect(server, kAwaitWithError);
    if (error) {
      co_return CallError::kNotSent;
    }
    SetSocketOptions(connection->stream.socket(), kSilenceTimeout);
  }
  request.version(11);
  request.set(http::field::host, server.address().to_string());
  request.prepare_payload();
  connection->stream.expires_at(deadline);
  const auto [write_error, written] =
      co_await http::async_write(connection->stream, request, kAwaitWithError);
  if (write_error) {
    co_return written == 0 ? CallError::kNotSent : CallError::kNoAnswer;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(most_bytes);
  const auto [read_error, read] =
      co_await http::async_read(connection->stream, connection->buffer, parser, kAwaitWithError);
  if (read_error) {
    co_return CallError::kNoAnswer;
  }
  entry.reset();
  if (ProblemOf(parser.get().base())) {
    co_return CallError::kNoAnswer;
  }
  Response response = parser.release();
  if (response.keep_alive()) {
    this->ReturnIdle(std::move(connection), server);
  }
  co_return response;
}

}  // namespace lentilhead::net
