#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/internal/endpoint_connection.h"

namespace lentilhead::gateway::internal {

/// Idle connections to endpoints.
class ConnectionPool {
 public:
  using Connection = std::shared_ptr<EndpointConnection>;

  /// Takes an idle connection to an endpoint that shows no sign of its end.
  /// @param longest_idle a connection that was idle for longer is not taken.
  /// @return null when there is none.
  [[nodiscard]] Connection Take(const EndpointState& endpoint,
                                std::chrono::milliseconds longest_idle, net::SteadyTime now);

  /// Keeps a connection on which an answer has ended cleanly.
  void Return(Connection connection, net::SteadyTime now);

  /// Closes connections that were idle for too long or that their endpoint closed.
  void Prune(net::SteadyTime now);

  /// Closes all.
  void Clear() { this->idle.clear(); }

 private:
  std::map<std::string, std::vector<Connection>> idle;
};

}  // namespace lentilhead::gateway::internal
