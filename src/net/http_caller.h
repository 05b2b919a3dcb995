#pragma once

#include <memory>
#include <variant>
#include <vector>

#include "net/call_error.h"
#include "net/http_types.h"

namespace lentilhead::net {

/// Sends calls to one HTTP server and reuses a few idle connections to it.
///
/// Sends each call once; the code that makes the call decides whether to repeat it.
class HttpCaller {
 public:
  using Outcome = std::variant<Response, CallError>;

  /// @param address address of the server.
  HttpCaller(asio::any_io_executor executor, tcp::endpoint address);

  /// Sends a request and reads the whole answer.
  /// @param request method, target, headers and body; Host and Content-Length are added.
  /// @param timeout limit on connecting, sending and reading together.
  asio::awaitable<Outcome> Call(Request request, std::chrono::milliseconds timeout);

  /// Changes the server and closes idle connections to the old one.
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
