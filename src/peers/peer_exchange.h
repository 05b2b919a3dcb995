#pragma once

#include <array>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "gateway/gateway.h"
#include "peers/cluster_view.h"
#include "peers/types/peer_message.h"

namespace lentilhead::peers {

/// Tells peers by datagram what this node has at the endpoints, and hears the same of them.
class PeerExchange {
 public:
  using Address = net::asio::ip::address;

  /// @param local address and port of the datagrams; peers use the same port.
  /// @param name name of this node. @param incarnation name of this start of it.
  PeerExchange(gateway::Gateway& gateway, ClusterView& view,
               const net::asio::ip::udp::endpoint& local, std::string name,
               std::string incarnation);

  /// Adds an address at which a node may be.
  void AddCandidate(const Address& address);

  /// Notes that what peers should know has changed; they hear of it within a period.
  void NoteChange() { this->changed = true; }

  /// Notes that the own load at an endpoint has changed. Peers whose batch work is in the way of
  /// online work there hear of it at the next tick.
  void NoteLoadChange(const gateway::EndpointState& endpoint);

  /// Sends and receives until the event loop stops.
  net::asio::awaitable<void> Send();
  net::asio::awaitable<void> Receive();

  /// Whether a start of a node was last_received of lately, or is this one.
  [[nodiscard]] bool IsAlive(const std::string& incarnation) const;

  /// Name of the node of a start, which is written NODE#START.
  [[nodiscard]] static std::string NodeOfIncarnation(const std::string& incarnation);

  /// Whether a later start of the same node is last_received.
  [[nodiscard]] bool HasNewerIncarnation(const std::string& incarnation) const;

  /// Names of the starts of nodes that are alive and do not leave, this one included.
  [[nodiscard]] std::vector<std::string> Alive() const;

  /// Address of a live peer whose view is newer than this node's; unspecified if none is.
  /// @param include_endpoints a newer list of endpoints counts.
  [[nodiscard]] Address PeerWithNewerView(bool include_endpoints) const;

  /// Address of a live peer that the store serves; unspecified if none is known.
  [[nodiscard]] Address PeerServedByStore() const;

  /// Sets what tells whether the store serves this node.
  void SetStoreServed(std::function<bool()> served) { this->store_served = std::move(served); }

  /// Address of any peer or candidate, for a node that knows nothing; unspecified if none is known.
  [[nodiscard]] Address RandomCandidate() const;

  /// Counts the time that this node stood still in favour of its peers.
  void RefreshAfterStall();

  [[nodiscard]] const std::string& Name() const { return this->name; }
  [[nodiscard]] const std::string& Incarnation() const { return this->incarnation; }

 private:
  struct Peer {
    PeerMessage last;
    net::SteadyTime last_received;
  };

  void Handle(const std::string& bytes, const Address& sender);
  void Expire();
  void SendToAll();
  void SendToBlockingPeers();
  [[nodiscard]] std::string NextMessage();
  void SendTo(const Address& address, const std::string& bytes);
  [[nodiscard]] std::chrono::milliseconds Period() const;

  gateway::Gateway& gateway;
  ClusterView& view;
  net::asio::ip::udp::socket socket;
  std::uint16_t port;
  Address own_address;
  std::string name;
  std::string incarnation;
  std::uint64_t sequence = 0;
  std::function<bool()> store_served;
  bool changed = true;
  std::set<std::string> blocking_peers;  ///< names of peers whose batch work delays online work
  net::SteadyTime last_sent;
  net::SteadyTime last_probe;
  std::set<Address> candidates;
  std::map<Address, Peer> peers;
};

}  // namespace lentilhead::peers
