#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "framework/metrics.h"
#include "gateway/internal/endpoint_connection.h"

namespace lentilhead::gateway::internal {

/// Connections to endpoints after their answer, the last one to each endpoint. They carry no other
/// request: an open one shows that the endpoint is alive, and bytes on one that it answers twice.
class IdleConnections {
 public:
  using Connection = std::shared_ptr<EndpointConnection>;

  explicit IdleConnections(framework::Metrics& metrics) : metrics(metrics) {}

  /// Keeps a connection after a whole answer, in place of an earlier one to the endpoint.
  void Keep(Connection connection, net::SteadyTime now);

  /// Tells whether an endpoint has left a connection open and sent nothing on it.
  /// @param incarnation of the endpoint.
  [[nodiscard]] bool IsOpen(std::uint32_t incarnation) const;

  /// Closes connections that are old, were closed by their endpoint, or have received bytes.
  /// Reports the bytes.
  void Prune(net::SteadyTime now);

 private:
  /// Reports bytes received since the answer. @return whether there are any.
  bool ReportStray(EndpointConnection& connection);

  framework::Metrics& metrics;
  std::map<std::uint32_t, Connection> connections;  ///< by incarnation
};

}  // namespace lentilhead::gateway::internal
