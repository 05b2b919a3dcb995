#pragma once

#include <memory>
#include <variant>
#include <vector>

#include "net/call_error.h"
#include "net/http_types.h"

namespace lentilhead::net {

/// Calls one HTTP server and keeps a few idle connections to it.
///
/// A call is sent once: what may be repeated is the caller's to decide.
class HttpCaller {
 public:
  using Outcome = std::variant<Response, CallError>;

  /// @param address server that is called.
  HttpCaller(asio::any_io_executor executor, tcp::endpoint address);

  /// Sends a request and reads the whole answer.
  /// @param request call with method, target, headers and body; Host and length are added.
  /// @param timeout max_delay time for connecting, sending and reading together.
  asio::awaitable<Outcome> Call(Request request, std::chrono::milliseconds timeout);

  /// Changes the server; idle connections to the old one are closed.
  void SetAddress(const tcp::endpoint& address);

  [[nodiscard]] const tcp::endpoint& Address() const { return this->address; }

 private:
  struct Connection {
    explicit Connection(const asio::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    SteadyTime idle_since;
  };

  std::unique_ptr<Connection> TakeIdle();
  void ReturnIdle(std::unique_ptr<Connection> connection, const tcp::endpoint& server);

  asio::any_io_executor executor;
  tcp::endpoint address;
  std::vector<std::unique_ptr<Connection>> idle;
};

}  // namespace lentilhead::net
