#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "framework/metrics.h"
#include "gateway/internal/endpoint_connection.h"

namespace lentilhead::gateway::internal {

/// Idle connections to endpoints.
class ConnectionPool {
 public:
  using Connection = std::shared_ptr<EndpointConnection>;

  explicit ConnectionPool(framework::Metrics& metrics) : metrics(metrics) {}

  /// Takes an idle connection that the endpoint has not closed and on which no error or data is
  /// pending.
  /// @param longest_idle connections that have been idle for longer are not taken.
  /// @param through_peer whether only connections through a peer are taken, or only others.
  /// @return null if there is none.
  [[nodiscard]] Connection Take(const EndpointState& endpoint,
                                std::chrono::milliseconds longest_idle, bool through_peer,
                                net::SteadyTime now);

  /// Tells whether an idle connection from this node to an endpoint is open.
  [[nodiscard]] bool HasOpen(const EndpointState& endpoint) const;

  /// Adds a connection after a complete answer.
  void Return(Connection connection, net::SteadyTime now);

  /// Closes connections that have been idle for too long, were closed by their endpoint, or whose
  /// endpoint is no longer listed.
  void Prune(net::SteadyTime now);

  /// Closes all connections.
  void Clear() { this->idle.clear(); }

 private:
  /// Whether a connection may carry another request. Reports bytes that no request asked for.
  [[nodiscard]] bool IsReusable(EndpointConnection& connection,
                                std::chrono::milliseconds longest_idle, net::SteadyTime now);

  framework::Metrics& metrics;
  std::map<std::string, std::vector<Connection>> idle;
};

}  // namespace lentilhead::gateway::internal
