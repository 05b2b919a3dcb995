#pragma once

#include <functional>

#include "net/http_types.h"

namespace lentilhead::node {

/// HTTP server for requests that do not come from callers: readiness, peers and metrics.
class AuxiliaryServer {
 public:
  using Handler = std::function<net::asio::awaitable<net::Response>(net::Request request,
                                                                    net::tcp::endpoint caller)>;

  /// @param name name of the server in log lines.
  AuxiliaryServer(const net::asio::any_io_executor& executor, std::string name, Handler handler);

  /// Starts to listen. @return an error if the address cannot be used.
  [[nodiscard]] net::ErrorCode Listen(const net::tcp::endpoint& address);

  /// Handles a request to connect, and the connection from then on.
  using ConnectHandler = std::function<net::asio::awaitable<void>(
      net::Request request, net::tcp::endpoint caller, net::beast::tcp_stream stream)>;

  /// Port that the server listens on.
  [[nodiscard]] std::uint16_t Port() const;

  /// Sets the handler of CONNECT requests. Without one they are handled as any other.
  void OnConnect(ConnectHandler connect) { this->connect_handler = std::move(connect); }

  /// Accepts connections until the event loop stops.
  net::asio::awaitable<void> Run();

 private:
  net::asio::awaitable<void> Serve(net::tcp::socket socket);

  net::asio::any_io_executor executor;
  std::string name;
  Handler handler;
  ConnectHandler connect_handler;
  net::tcp::acceptor acceptor;
};

/// Opens a listener. @return an error if the address cannot be used.
[[nodiscard]] net::ErrorCode OpenListener(net::tcp::acceptor& acceptor,
                                          const net::tcp::endpoint& address);

}  // namespace lentilhead::node
