#pragma once

#include <chrono>

#include "gateway/types/route.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// What has been tried for a request.
struct AttemptRecord {
  int sent = 0;            ///< endpoints that the request was written to
  bool maybe_run = false;  ///< an attempt may have run
};

/// Decides on repeating a request. Reads no clock.
class AttemptPolicy {
 public:
  /// Whether the request may be written to one more endpoint.
  /// @param repeatable the request may run more than once.
  [[nodiscard]] static bool MayRetry(const Route& route, const AttemptRecord& record,
                                     bool repeatable);

  /// Time by which an endpoint must have begun its answer for it not to be given up.
  /// @param can_repeat another endpoint could take the request.
  [[nodiscard]] static net::SteadyTime AnswerDeadline(const Route& route, net::SteadyTime now,
                                                      net::SteadyTime deadline, bool can_repeat);

  /// Time by which the next event of a stream must have come.
  [[nodiscard]] static net::SteadyTime NextEventDeadline(const Route& route, net::SteadyTime now,
                                                         net::SteadyTime deadline, bool can_repeat);
};

}  // namespace lentilhead::gateway
