#pragma once

#include <chrono>

#include "gateway/types/body_progress.h"
#include "gateway/types/route.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// Attempts made so far for a request.
struct AttemptRecord {
  int sent = 0;            ///< endpoints that the request was sent to
  bool maybe_run = false;  ///< the request may have run at one of them
};

/// Decides on the retries and the timeouts of attempts. Reads no clock.
class AttemptPolicy {
 public:
  /// Whether the request may be sent to another endpoint.
  /// @param repeatable the request may run more than once.
  [[nodiscard]] static bool MayRetry(const Route& route, const AttemptRecord& record,
                                     bool repeatable);

  /// Time from which an endpoint that has not begun its answer counts as silent. Another endpoint
  /// is tried then if one can take the request; otherwise the endpoint may still answer.
  /// @param may_retry the request may be sent to another endpoint.
  [[nodiscard]] static net::SteadyTime SilentWithoutAnswerAt(const Route& route,
                                                             net::SteadyTime now,
                                                             net::SteadyTime deadline,
                                                             bool may_retry);

  /// Whether a body flows so quickly that its endpoint does not count as silent.
  /// @param left time until the deadline of the request.
  [[nodiscard]] static bool IsOnCourse(const BodyProgress& body, std::chrono::milliseconds left);

  /// Time from which an endpoint counts as silent if the next event of a stream is still missing.
  [[nodiscard]] static net::SteadyTime SilentWithoutEventAt(const Route& route, net::SteadyTime now,
                                                            net::SteadyTime deadline,
                                                            bool may_retry);
};

}  // namespace lentilhead::gateway
