#pragma once

#include <functional>

#include "gateway/gateway.h"
#include "peers/cluster_view.h"
#include "peers/peer_exchange.h"

namespace lentilhead::peers {

/// Fetches the view of a peer if it is newer than this node's, or of a random node while none is
/// known.
class ViewRelay {
 public:
  /// Path at which a node serves its view.
  static constexpr char kPath[] = "/view";

  /// @param port port of the nodes' listeners for other nodes, the same on all nodes.
  ViewRelay(gateway::Gateway& gateway, ClusterView& view, PeerExchange& peers, std::uint16_t port)
      : gateway(gateway), view(view), peers(peers), port(port) {}

  /// Checks the peers' versions periodically until the event loop stops.
  /// @param store_silent tells whether the store has not answered this node for a while; only then,
  ///   or before this node has a list of endpoints, is a peer's list adopted.
  net::asio::awaitable<void> Run(std::function<bool()> store_silent);

 private:
  net::asio::awaitable<void> Fetch(net::asio::ip::address peer, bool include_endpoints);

  gateway::Gateway& gateway;
  ClusterView& view;
  PeerExchange& peers;
  std::uint16_t port;
};

}  // namespace lentilhead::peers
