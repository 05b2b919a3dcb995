#pragma once

#include <functional>
#include <memory>

#include "net/http_types.h"
#include "net/memory_budget.h"
#include "relay/types/tunnel_permit.h"

namespace lentilhead::relay {

/// Connects peers to endpoints and passes the bytes both ways unchanged.
class TunnelServer {
 public:
  /// Largest number of connections at a time, so that the node's own callers lose little.
  static constexpr std::size_t kMaxTunnels = 96;
  /// Bytes held for each direction of a connection.
  static constexpr std::size_t kBufferBytes = 8 << 10;

  /// Decides without I/O whether a caller is connected to an address.
  using Permit = std::function<TunnelPermit(const net::asio::ip::address& caller,
                                            const net::tcp::endpoint& target)>;
  /// Called with the outcome of each connection to an endpoint.
  using OnConnect = std::function<void(const net::tcp::endpoint& target, bool reached)>;
  /// Called with the outcome of each request, named as by NameOf(TunnelOutcome), and with "broken".
  using Count = std::function<void(std::string_view outcome)>;

  /// @param own address of this node, from which it connects to endpoints.
  /// @param memory counts the bytes held for each connection; must outlive this object.
  TunnelServer(net::asio::any_io_executor executor, net::asio::ip::address own,
               net::MemoryBudget& memory, Permit permit, OnConnect on_connect, Count count);

  /// Serves a request to connect, and the connection until its end.
  /// @param request names the address of an endpoint.
  /// @param caller address of the node that asks.
  /// @param stream connection to that node.
  net::asio::awaitable<void> Serve(net::Request request, net::tcp::endpoint caller,
                                   net::beast::tcp_stream stream);

  /// Number of connections now.
  [[nodiscard]] std::size_t Open() const { return *this->open; }

 private:
  struct Tunnel;

  [[nodiscard]] net::asio::awaitable<void> Refuse(net::beast::tcp_stream& stream,
                                                  net::http::status status,
                                                  std::string_view reason);
  /// Passes bytes one way until an end or an error, then ends both ways.
  static net::asio::awaitable<void> Forward(std::shared_ptr<Tunnel> tunnel, bool to_endpoint);

  net::asio::any_io_executor executor;
  net::asio::ip::address own;
  net::MemoryBudget& memory;
  Permit permit;
  OnConnect on_connect;
  Count count;
  /// Shared, as connections may outlive the server at the exit of the process.
  std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(0);
};

}  // namespace lentilhead::relay
