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

  /// Accepts connections until the event loop stops.
  net::asio::awaitable<void> Run();

 private:
  net::asio::awaitable<void> Serve(net::tcp::socket socket);

  net::asio::any_io_executor executor;
  std::string name;
  Handler handler;
  net::tcp::acceptor acceptor;
};

/// Opens a listener. @return an error if the address cannot be used.
[[nodiscard]] net::ErrorCode OpenListener(net::tcp::acceptor& acceptor,
                                          const net::tcp::endpoint& address);

}  // namespace lentilhead::node
