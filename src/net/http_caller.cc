#include "net/http_caller.h"

#include <limits>

#include "net/socket_options.h"

namespace lentilhead::net {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kIdleLimit{2000};     // below the idle limits of usual servers
constexpr milliseconds kSilenceLimit{2000};  // a silent connection is given up by then
constexpr milliseconds kConnectLimit{800};   // a lost opening packet is sent again after a second
constexpr std::size_t kIdleConnections = 4;  // bounds descriptors per called server
constexpr std::uint64_t kAnswerBytes = 64ULL << 20U;  // far above any answer of the store

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

std::unique_ptr<HttpCaller::Connection> HttpCaller::TakeIdle() {
  while (!this->idle.empty()) {
    std::unique_ptr<Connection> connection = std::move(this->idle.back());
    this->idle.pop_back();
    if (Now() - connection->idle_since < kIdleLimit && IsQuiet(connection->stream.socket())) {
      return connection;
    }
  }
  return nullptr;
}

void HttpCaller::Keep(std::unique_ptr<Connection> connection, const tcp::endpoint& server) {
  if (server != this->address || this->idle.size() >= kIdleConnections ||
      connection->buffer.size() > 0) {
    return;
  }
  connection->stream.expires_never();
  connection->idle_since = Now();
  this->idle.push_back(std::move(connection));
}

asio::awaitable<HttpCaller::Outcome> HttpCaller::Call(Request request, milliseconds timeout) {
  const SteadyTime deadline = Now() + timeout;
  const tcp::endpoint server = this->address;
  std::unique_ptr<Connection> connection = this->TakeIdle();
  if (!connection) {
    connection = std::make_unique<Connection>(this->executor);
    connection->stream.expires_at(std::min(deadline, Now() + kConnectLimit));
    const auto [error] = co_await connection->stream.async_connect(server, kAwaitWithError);
    if (error) {
      co_return CallError::kNotSent;
    }
    SetSocketOptions(connection->stream.socket(), kSilenceLimit);
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
  parser.body_limit(kAnswerBytes);
  const auto [read_error, read] =
      co_await http::async_read(connection->stream, connection->buffer, parser, kAwaitWithError);
  if (read_error) {
    co_return CallError::kNoAnswer;
  }
  Response response = parser.release();
  if (response.keep_alive()) {
    this->Keep(std::move(connection), server);
  }
  co_return response;
}

}  // namespace lentilhead::net
