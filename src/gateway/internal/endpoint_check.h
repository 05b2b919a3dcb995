#pragma once

#include "gateway/internal/endpoint_connection.h"
#include "gateway/types/answer_end_time.h"
#include "gateway/types/endpoint_fate.h"
#include "gateway/types/life_sign.h"
#include "net/http_types.h"

namespace lentilhead::gateway {
struct Gateway;
struct EndpointState;
}  // namespace lentilhead::gateway

namespace lentilhead::gateway::internal {

/// Tells an endpoint that ended from a single connection that was lost.
class EndpointCheck {
 public:
  /// Opens a connection to an endpoint and watches what becomes of it. While an endpoint is down,
  /// another process, such as a supervisor, may still accept connections at its address.
  /// If it can't be opened, asks a peer. An open idle connection shows that the endpoint is alive.
  [[nodiscard]] static net::asio::awaitable<EndpointFate> Observe(Gateway& gateway,
                                                                  const EndpointState& endpoint);

  /// Looks for a sign that an endpoint is alive after a connection to it has ended in good order:
  /// an answer to a health call, or, of one that is full, other answers or an open idle connection.
  /// @param connection ended; the check is made directly or through a peer, as it was opened.
  /// @param end of the answer. @param until time limit.
  /// @return LifeSign::kNone also if this can't be told.
  [[nodiscard]] static net::asio::awaitable<LifeSign> FindLifeSign(
      Gateway& gateway, std::shared_ptr<const EndpointConnection> connection, AnswerEndTime end,
      net::SteadyTime until);
};

}  // namespace lentilhead::gateway::internal
