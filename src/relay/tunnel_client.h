#pragma once

#include "net/http_types.h"
#include "relay/types/tunnel_outcome.h"

namespace lentilhead::relay {

/// Asks peers to connect this node to endpoints.
class TunnelClient {
 public:
  /// @param own address of this node, from which it connects: peers check that it is listed.
  /// @param port port of the nodes' listeners for other nodes, the same on all nodes.
  TunnelClient(net::asio::ip::address own, std::uint16_t port) : own(std::move(own)), port(port) {}

  /// Connects to a peer and through it to an endpoint.
  /// @param stream closed; leads to the endpoint if the outcome is TunnelOutcome::kGranted.
  /// @param buffer gets bytes that the endpoint has already sent.
  /// @param until time limit of the whole.
  net::asio::awaitable<TunnelOutcome> Open(net::beast::tcp_stream& stream,
                                           net::beast::flat_buffer& buffer,
                                           net::asio::ip::address peer, net::tcp::endpoint target,
                                           net::SteadyTime until) const;

  /// Whether a peer accepts a connection, which it does not once its process has ended.
  /// @param executor runs the connection.
  /// @param until time limit.
  net::asio::awaitable<bool> IsAlive(net::asio::any_io_executor executor,
                                     net::asio::ip::address peer, net::SteadyTime until) const;

 private:
  net::asio::ip::address own;
  std::uint16_t port;
};

}  // namespace lentilhead::relay
