#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "gateway/internal/endpoint_connection.h"
#include "net/http_types.h"

namespace lentilhead::gateway::internal {

/// Asks the process behind a connection whether it is the endpoint that the connection was opened
/// for. That a connection is accepted does not tell: a proxy, a supervisor or the system accepts
/// connections for an endpoint that is down, too.
class InstanceQuery {
 public:
  enum class Reply : std::uint8_t {
    kSame,    ///< the endpoint itself answered
    kOther,   ///< something else answered
    kLost,    ///< the connection was lost before an answer
    kSilent,  ///< no answer within the time limit
  };

  /// Sends a health call and reads the head of its answer.
  /// @param connection open, without a request; nothing else is sent on it after the call.
  /// @param path path of the service's health call.
  /// @param until time limit.
  [[nodiscard]] static net::asio::awaitable<Reply> Ask(
      std::shared_ptr<EndpointConnection> connection, std::string path, net::SteadyTime until);
};

}  // namespace lentilhead::gateway::internal
