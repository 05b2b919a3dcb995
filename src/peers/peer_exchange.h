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

/// Exchanges the state of this node with its peers by datagrams, such as its load at endpoints.
class PeerExchange {
 public:
  using Address = net::asio::ip::address;

  /// @param local address and port for datagrams; peers use the same port.
  /// @param name name of this node. @param incarnation name of this start of the node.
  PeerExchange(gateway::Gateway& gateway, ClusterView& view,
               const net::asio::ip::udp::endpoint& local, std::string name,
               std::string incarnation);

  /// Opens the socket for datagrams. Must succeed before Send() and Receive().
  /// @return the error if the address can't be used.
  [[nodiscard]] net::ErrorCode Listen();

  /// Adds an address where a node may run.
  void AddCandidate(const Address& address);

  /// Sets the addresses of the nodes that this node exchanges its state with.
  /// @param is_whole_fleet whether there is no other group.
  void SetGroup(std::set<Address> addresses, bool is_whole_fleet) {
    this->group = std::move(addresses);
    this->group_is_fleet = is_whole_fleet;
  }

  /// Records that the state for peers has changed; it is sent when the current
  /// send period ends.
  void NoteChange();

  /// Records that this node's load at an endpoint has changed. Peers whose batch work delays online
  /// work there receive the state at the next tick.
  void NoteLoadChange(const gateway::EndpointState& endpoint);

  /// Send and receive until the event loop stops.
  net::asio::awaitable<void> Send();
  net::asio::awaitable<void> Receive();

  /// Tells whether an incarnation is this one or that of a live peer.
  [[nodiscard]] bool IsAlive(const std::string& incarnation) const;

  /// Returns the node of an incarnation, which is written NODE#START.
  [[nodiscard]] static std::string NodeOfIncarnation(const std::string& incarnation);

  /// Tells whether a live peer is another incarnation of the same node.
  [[nodiscard]] bool HasOtherIncarnation(const std::string& incarnation) const;

  /// Returns the incarnations of live nodes that are not leaving, including this one.
  [[nodiscard]] std::vector<std::string> Alive() const;

  /// Returns the address of a live peer with a newer view, or an unspecified one.
  /// @param include_endpoints whether a newer list of endpoints counts.
  [[nodiscard]] Address PeerWithNewerView(bool include_endpoints) const;

  /// Returns the address of a live peer that the store serves, or an unspecified one.
  [[nodiscard]] Address PeerServedByStore() const;

  /// Sets the function that tells whether the store serves this node.
  void SetStoreServed(std::function<bool()> served) { this->store_served = std::move(served); }

  /// Returns a random address where a node may run, or an unspecified one.
  [[nodiscard]] Address RandomCandidate() const;

  /// Treats all peers as if a message had just arrived, so that a stall of this process does not
  /// expire them.
  void RefreshAfterStall();

  [[nodiscard]] const std::string& Name() const { return this->name; }
  [[nodiscard]] const std::string& Incarnation() const { return this->incarnation; }

 private:
  struct Peer {
    PeerMessage last;
    net::SteadyTime last_received;
  };

  void Handle(const std::string& bytes, const Address& sender);
  void RecordLeaving(const PeerMessage& message);
  void RecordLimits(const PeerMessage& message);
  void RecordCustomerUses(const PeerMessage& message);
  void NotePeer(const PeerMessage& message, const Address& sender);
  /// Returns the evidence on parts of prompts, if it has changed or is to be repeated.
  /// @param to_new_peer a peer was found since the last message.
  [[nodiscard]] std::vector<gateway::PartEvidence> DueEvidence(bool to_new_peer,
                                                               net::SteadyTime now);
  /// Returns what peers are to know of the limits that endpoints name.
  /// @param to_new_peer a peer was found since the last message.
  [[nodiscard]] gateway::LimitReport DueLimits(bool to_new_peer, net::SteadyTime now);
  /// Returns the slots in use by customer, if they are to be sent.
  [[nodiscard]] std::optional<std::vector<admission::CustomerUse>> DueCustomerUses(
      net::SteadyTime now);
  /// Returns what nodes of other groups are to know of limits, if it is to be sent.
  [[nodiscard]] std::vector<gateway::OutsideLimit> DueOutsideLimits(net::SteadyTime now);
  /// Sends evidence and limits to a few nodes of other groups, which pass them on.
  void SendToOtherGroups(const OtherGroupMessage& message);
  void Expire();
  void SendToAll();
  void SendToYieldingPeers();
  [[nodiscard]] std::string NextMessage(
      std::vector<gateway::PartEvidence> evidence = {}, gateway::LimitReport limits = {},
      std::optional<std::vector<admission::CustomerUse>> uses = std::nullopt);
  void SendTo(const Address& address, const std::string& bytes);
  [[nodiscard]] std::chrono::milliseconds Period() const;
  /// Returns when the next message is due.
  [[nodiscard]] net::SteadyTime NextSend(net::SteadyTime now) const;
  /// Makes Send() wait for a message that is due earlier than expected.
  void WakeSender();

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
  net::asio::steady_timer send_timer;
  std::set<std::string> yielding_peers;  ///< peers whose batch work delays online work
  net::SteadyTime last_sent;
  net::SteadyTime last_probe;
  net::SteadyTime evidence_sent;
  net::SteadyTime recent_limits_sent;
  net::SteadyTime outside_limits_sent;
  net::SteadyTime customer_uses_sent;
  std::uint64_t evidence_version = 0;  ///< sent last
  bool has_new_candidate = false;      ///< since all were messaged last
  bool has_new_peer = false;           ///< since the last message to all
  std::set<Address> candidates;
  std::set<Address> group;  ///< empty while the group is not known: then all candidates
  bool group_is_fleet = true;
  std::map<Address, Peer> peers;
};

}  // namespace lentilhead::peers
