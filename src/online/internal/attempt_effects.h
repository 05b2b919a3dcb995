#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "endpoint/types/attempt_end.h"
#include "online/internal/attempt_events.h"
#include "online/types/refusal.h"

namespace lentilhead::online::internal {

/// Why an attempt failed.
enum class RetryReason {
  kNoEndpoint,
  kNotSent,
  kBusy,
  kDraining,
  kModelNotLoaded,
  kConnectionLost,
  kTimeout,
  kErrorStatus,
  kStreamCut,
};

/// Name of a retry reason in snake_case, for logs and counters.
const char* NameOf(RetryReason reason);

/// Chooses an endpoint and sends the request to it.
struct SendAttempt {
  int attempt;
  std::string resume_body;  ///< Replaces the caller's body if it is not empty.
};

/// Closes the connection of an attempt.
struct CancelAttempt {
  int attempt;
};

/// Reports the end of an attempt to the endpoint directory.
struct ReportAttempt {
  int attempt;
  endpoint::AttemptEnd end;
};

/// Delivers BackoffElapsed after a delay.
struct WaitBackoff {
  std::chrono::milliseconds delay;
  RetryReason reason;
};

/// Starts a streamed answer.
struct StartStream {
  AnswerHeaders headers;
};

/// Forwards whole events to the caller.
struct ForwardEvents {
  std::string events;
};

/// Ends a streamed answer successfully.
struct FinishStream {};

/// Ends a streamed answer with an error event.
struct FailStream {
  Refusal refusal;
};

/// Answers the caller with an endpoint's whole answer.
struct WholeAnswer {
  int status;
  AnswerHeaders headers;
  std::string body;
};

/// Answers the caller with an error.
struct Refuse {
  Refusal refusal;
};

/// Reports the first byte of an attempt's streamed answer.
struct FirstByte {};

/// Reports bytes of an earlier attempt that arrived and were dropped.
struct LateBytes {
  std::size_t size;
};

using AttemptEffect =
    std::variant<SendAttempt, CancelAttempt, ReportAttempt, WaitBackoff, StartStream, ForwardEvents,
                 FinishStream, FailStream, WholeAnswer, Refuse, FirstByte, LateBytes>;
using AttemptEffects = std::vector<AttemptEffect>;

}  // namespace lentilhead::online::internal
