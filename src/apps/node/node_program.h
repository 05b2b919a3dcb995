#pragma once

#include <memory>
#include <string>

#include "apps/node/auxiliary_server.h"
#include "apps/node/options.h"
#include "gateway/caller_server.h"
#include "gateway/gateway.h"
#include "gateway/types/node_settings.h"
#include "jobs/job_api.h"
#include "jobs/job_service.h"
#include "net/loop_lag.h"
#include "peers/cluster_view.h"
#include "peers/node_presence.h"
#include "peers/peer_exchange.h"
#include "peers/removal_grace_period.h"
#include "peers/view_relay.h"
#include "relay/tunnel_server.h"
#include "rowstore/table_follower.h"

namespace lentilhead::node {

/// One node: servers for callers, readiness, peers and metrics, and the batch jobs, on one event
/// loop.
class NodeProgram {
 public:
  /// @param settings_text content of the settings file, to detect its changes.
  NodeProgram(Options options, gateway::NodeSettings settings, std::string settings_text);

  /// Runs until the node has shut down. @return exit code of the process.
  int Run();

 private:
  [[nodiscard]] bool OpenListeners();
  void SpawnTasks();
  void Spawn(std::string_view name, net::asio::awaitable<void> task);
  [[nodiscard]] rowstore::TableFollower MakeConfigFollower();
  [[nodiscard]] rowstore::TableFollower MakeEndpointFollower();
  [[nodiscard]] rowstore::TableFollower MakeNodeFollower();
  [[nodiscard]] rowstore::TableFollower MakeClaimFollower();
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool IsStoreSilent() const;
  net::asio::awaitable<net::Response> AnswerReadiness(net::Request request);
  net::asio::awaitable<net::Response> AnswerPeer(net::Request request, net::tcp::endpoint caller);
  net::asio::awaitable<net::Response> AnswerMetrics(net::Request request);
  net::asio::awaitable<void> HandleSignals();
  net::asio::awaitable<void> Leave();
  /// Waits until no request is open, or until the node must exit.
  net::asio::awaitable<void> FinishRequests();
  /// Whether nothing is left to do before the exit; closes the listener first.
  [[nodiscard]] bool HasFinished();
  /// Ends what is still open shortly before the exit.
  net::asio::awaitable<void> EndRequests();
  net::asio::awaitable<void> Maintain();
  void UpdateGauges();
  /// Sets the limit of the memory budget.
  void LimitHeldBytes();
  /// Lets the nodes exchange the evidence on parts of prompts and take turns to probe held ones.
  void ConnectQuarantine();
  /// Waits a moment for the evidence of the peers once there is a list of endpoints.
  net::asio::awaitable<void> AwaitEvidence();
  /// Sets how often the claims are read: less often in a fleet of several groups, as the calls of
  /// all nodes add up at the store.
  void SetClaimPause(bool has_several_groups);
  /// Divides nodes and endpoints into groups again if either list has changed.
  void UpdateGroup();
  void Reload(std::string_view cause);
  void RefreshAfterStall();
  /// Logs that most online requests are no longer served, or are again, with what may be the cause.
  void ReportOutcomes();
  /// Lets peers hear soon of what endpoints say of their limits.
  void ConnectLimits();
  /// Lets the quotas follow the configuration and the list of nodes.
  void UpdateQuotas();
  /// Lets nodes connect each other to endpoints.
  void ConnectRelay();
  [[nodiscard]] relay::TunnelServer MakeTunnelServer();
  /// Ends limits that endpoints name no more.
  void PruneLimits();

  Options options;
  gateway::NodeSettings settings;
  net::asio::io_context context{1};
  net::asio::any_io_executor executor;
  gateway::Gateway gateway;
  rowstore::RowStore store;
  peers::ClusterView view;
  peers::RemovalGracePeriod removal_grace;
  peers::PeerExchange peers;
  peers::NodePresence presence;
  peers::ViewRelay view_relay;
  customers::QuotaExchange quotas;
  relay::TunnelServer tunnel_server;
  jobs::JobStore job_store;
  jobs::JobService job_service;
  jobs::JobApi job_api;
  gateway::CallerServer caller_server;
  rowstore::TableFollower config_follower;
  rowstore::TableFollower endpoint_follower;
  rowstore::TableFollower node_follower;
  rowstore::TableFollower claim_follower;
  net::tcp::acceptor caller_listener;
  AuxiliaryServer readiness_server;
  AuxiliaryServer peer_server;
  AuxiliaryServer metrics_server;
  net::asio::signal_set signals;
  net::LoopLag loop_lag;
  bool has_failed = false;  ///< one of the node's tasks ended by an exception
  std::string settings_text;
  std::int64_t quota_config_version = -1;
  std::uint64_t quota_list_version = 0;
  std::pair<std::uint64_t, std::uint64_t> group_versions;  ///< lists that the groups are made of
};

}  // namespace lentilhead::node
