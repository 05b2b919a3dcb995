#pragma once

#include "net/http_types.h"

namespace lentilhead::gateway::internal {

/// Tells a process that ended from a connection that was lost.
class EndpointCheck {
 public:
  /// Tells whether an address refuses connections, which means that the process behind it has
  /// ended. An address that gives no answer in time is not known to have ended.
  /// @param address address of the endpoint.
  [[nodiscard]] static net::asio::awaitable<bool> HasEnded(net::asio::any_io_executor executor,
                                                           net::tcp::endpoint address);
};

}  // namespace lentilhead::gateway::internal
