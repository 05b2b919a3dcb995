#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "framework/metrics.h"
#include "gateway/cancel_scope.h"
#include "gateway/endpoint_registry.h"
#include "gateway/internal/endpoint_connection.h"
#include "gateway/types/answer_end_time.h"
#include "gateway/types/connect_outcome.h"
#include "gateway/types/open_attempt.h"
#include "net/loop_beats.h"
#include "relay/cut_evidence.h"
#include "relay/drop_limit.h"
#include "relay/relay_peers.h"
#include "relay/tunnel_client.h"
#include "relay/types/peer_news.h"
#include "relay/types/tunnel_permit.h"

namespace lentilhead::gateway {

/// Opens connections to endpoints: from this node, or through a peer while this node is cut off.
class EndpointPaths {
 public:
  using Address = net::asio::ip::address;
  using Connection = std::shared_ptr<internal::EndpointConnection>;

  EndpointPaths(net::asio::any_io_executor executor, EndpointRegistry& registry,
                framework::Metrics& metrics)
      : executor(std::move(executor)), registry(registry), metrics(metrics) {}

  /// Allows connections through peers, which need the address of this node.
  /// @param own address of this node. @param port of the nodes' listeners for other nodes.
  void UsePeers(const Address& own, std::uint16_t port);

  /// Replaces the list of nodes.
  void SetNodes(const std::vector<relay::RelayNode>& nodes);

  /// Records that a peer was heard of.
  void RecordNews(const Address& peer, relay::PeerNews news);

  /// Opens a connection.
  /// @param connection not connected. @param until time limit of the whole.
  /// @param cancel closes the connection when cancelled.
  net::asio::awaitable<ConnectOutcome> Open(Connection connection, net::SteadyTime until,
                                            CancelScope& cancel);

  /// Address of this node from which it connects; unspecified before UsePeers().
  [[nodiscard]] const Address& OwnAddress() const { return this->own; }

  /// Whether new connections to an endpoint are opened through a peer first.
  [[nodiscard]] bool UsesPeer(const EndpointState& endpoint) const;

  /// Whether a lost or silent connection says nothing of its endpoint.
  [[nodiscard]] bool ExcusesFailure(std::uint32_t key) const {
    return this->evidence.ExcusesFailure(key, net::Now());
  }

  /// Whether no path to any endpoint works.
  [[nodiscard]] bool IsIsolated() const { return this->evidence.IsIsolated(net::Now()); }

  /// Whether this node is cut off from all endpoints.
  [[nodiscard]] bool IsCutOffFromAll() const {
    return this->evidence.IsCutOffFromAll() || this->IsIsolated();
  }

  /// Number of endpoints that this node is cut off from.
  [[nodiscard]] std::size_t CutOffCount() const { return this->evidence.CutOffCount(); }

  /// Tells whether a peer reaches an endpoint that this node just failed to connect to.
  /// @param started when this node began to connect.
  net::asio::awaitable<bool> IsReachedByPeer(EndpointEntry entry, std::uint32_t key,
                                             net::SteadyTime started);

  /// Records that a connection of a request from this node was accepted and lost before any byte of
  /// an answer arrived. @param after time from its acceptance to its loss.
  void RecordLost(std::uint32_t key, std::chrono::milliseconds after);

  /// Records that a connection through a peer was lost or silent.
  void RecordBroken(const Address& peer);

  /// Whether a peer that carries a connection is alive, so that its end is the endpoint's.
  /// @param until time limit.
  net::asio::awaitable<bool> IsAlive(const Address& peer, net::SteadyTime until) const;

  /// Tells whether an endpoint accepts a connection through a peer and does not drop it at once.
  /// Asks several peers before it says no, as some may be cut off like this node.
  /// @param drop_limit time within which it would be dropped. @return false also if no peer can
  /// tell.
  net::asio::awaitable<bool> IsAcceptedThroughPeer(std::shared_ptr<EndpointState> endpoint,
                                                   std::chrono::milliseconds drop_limit);

  /// Looks at an open connection to an endpoint. @return whether it was not dropped.
  using Look = std::function<net::asio::awaitable<bool>(Connection connection)>;

  /// As IsAcceptedThroughPeer(), but the calling code looks at the connections.
  net::asio::awaitable<bool> LookThroughPeers(std::shared_ptr<EndpointState> endpoint, Look look);

  /// Records bytes of an answer.
  void RecordAnswer() { this->evidence.RecordAnswer(net::Now()); }

  /// Watches an attempt until Forget().
  void Watch(OpenAttempt& attempt) { this->attempts.insert(&attempt); }
  void Forget(OpenAttempt& attempt) { this->attempts.erase(&attempt); }

  /// Whether an endpoint sent bytes of an answer a while after the end of another answer.
  /// @param margin this while.
  [[nodiscard]] bool WasHeardAfter(std::uint32_t key, const AnswerEndTime& end,
                                   std::chrono::milliseconds margin) const;

  /// Decides whether a peer is connected to an address.
  [[nodiscard]] relay::TunnelPermit PermitTunnel(const Address& caller,
                                                 const net::tcp::endpoint& target) const;

  /// Records the outcome of a connection that was opened for a peer.
  void RecordTunnel(const net::tcp::endpoint& target, bool reached);

  /// Earliest arrival of what this node reads now.
  [[nodiscard]] net::SteadyTime EarliestArrival() const {
    return this->beats.EarliestArrival(net::Now());
  }

  /// Probes paths where there is doubt, until the event loop stops.
  net::asio::awaitable<void> Run();

 private:
  /// Opens a connection through one of several peers.
  /// @param tried peers that are not asked.
  /// @return no value if no peer could tell whether the endpoint is reachable.
  net::asio::awaitable<std::optional<bool>> OpenThroughPeer(Connection connection,
                                                            net::SteadyTime until,
                                                            CancelScope* cancel,
                                                            std::vector<Address> tried = {});
  /// As LookThroughPeers(), but asks one peer. @param tried peers that are not asked; gets the
  /// peer through which the connection was dropped. @return no value if no peer could tell.
  net::asio::awaitable<std::optional<bool>> TryThroughPeer(std::shared_ptr<EndpointState> endpoint,
                                                           const Look& look,
                                                           std::vector<Address>& tried);
  /// Tells from a connection whether it is dropped within a time.
  [[nodiscard]] Look LookForDrop(std::chrono::milliseconds limit);
  /// Tells whether a connection is dropped soon after it was opened. Ends the connection.
  net::asio::awaitable<bool> IsDropped(net::beast::tcp_stream& stream,
                                       std::chrono::milliseconds limit);
  /// Records that the event loop runs, until it stops.
  net::asio::awaitable<void> Beat();
  void BeginProbes();
  net::asio::awaitable<void> ProbeDirect(std::shared_ptr<EndpointState> endpoint);
  net::asio::awaitable<void> ProbeThroughPeer(std::shared_ptr<EndpointState> endpoint);
  [[nodiscard]] std::shared_ptr<EndpointState> Find(std::uint32_t key) const;
  [[nodiscard]] std::shared_ptr<EndpointState> FindAddress(const net::tcp::endpoint& address) const;
  void UpdateTargets();
  void CheckAttempts();
  void ClearSuspicions();
  void ReportChanges();
  void Count(std::string_view outcome);

  net::asio::any_io_executor executor;
  EndpointRegistry& registry;
  framework::Metrics& metrics;
  Address own;
  relay::CutEvidence evidence;
  relay::DropLimit drop_limit;
  std::size_t open_probes = 0;                ///< connections of probes
  std::optional<relay::TunnelClient> client;  ///< none before UsePeers()
  std::optional<relay::RelayPeers> peers;
  std::set<OpenAttempt*> attempts;
  net::LoopBeats beats;
};

}  // namespace lentilhead::gateway
