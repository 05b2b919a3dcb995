#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "relay/types/peer_news.h"
#include "relay/types/relay_node.h"
#include "relay/types/tunnel_outcome.h"

namespace lentilhead::relay {

/// Chooses the peer that is asked to connect this node to an endpoint.
///
/// Reads no clock and does no I/O; the calling code passes the time and random numbers.
class RelayPeers {
 public:
  using Address = net::asio::ip::address;

  /// @param own address of this node, which is never chosen.
  explicit RelayPeers(Address own) : own(std::move(own)) {}

  /// Replaces the list of nodes.
  void SetNodes(const std::vector<RelayNode>& nodes);

  /// Records that a node was heard of. Unless it serves it is not chosen for a while.
  void RecordNews(const Address& node, PeerNews news, net::SteadyTime now);

  /// Records what became of a request to a node.
  void RecordOutcome(const Address& node, TunnelOutcome outcome, net::SteadyTime now);

  /// Records that a connection through a node was lost or silent.
  void RecordBroken(const Address& node, net::SteadyTime now);

  /// Chooses a node. The first one is a node that was heard of, if there is one; the next ones are
  /// in other zones than those tried, as a whole zone may be cut off.
  /// @param tried nodes already asked for the same connection.
  /// @param random number from 0 to 1.
  /// @return no value if no node is left.
  [[nodiscard]] std::optional<Address> Choose(const std::vector<Address>& tried, double random,
                                              net::SteadyTime now) const;

  /// Whether a node said a short time ago that it is shutting down.
  [[nodiscard]] bool IsLeaving(const Address& node, net::SteadyTime now) const;

  /// Whether a node is listed, this one included.
  [[nodiscard]] bool IsListed(const Address& node) const;

 private:
  struct State {
    std::string zone;
    net::SteadyTime heard_at;
    net::SteadyTime avoided_until;
    net::SteadyTime leaving_until;
  };

  Address own;
  std::map<Address, State> nodes;
};

}  // namespace lentilhead::relay
