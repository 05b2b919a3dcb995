#pragma once

#include "gateway/internal/connection_pool.h"
#include "gateway/types/endpoint_fate.h"
#include "net/http_types.h"

namespace lentilhead::gateway::internal {

/// Tells an endpoint that ended from a single connection that was lost.
class EndpointCheck {
 public:
  /// Opens a connection to an endpoint and watches what becomes of it. While an endpoint is down,
  /// another process, such as a supervisor, may still accept connections at its address.
  /// @param pool idle connections, of which an open one shows that the endpoint is alive.
  [[nodiscard]] static net::asio::awaitable<EndpointFate> Observe(
      net::asio::any_io_executor executor, const ConnectionPool& pool,
      const EndpointState& endpoint);
};

}  // namespace lentilhead::gateway::internal
