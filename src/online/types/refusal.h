#pragma once

#include <chrono>
#include <optional>

#include "framework/http_error.h"
#include "online/types/outcome.h"

namespace lentilhead::online {

/// Why a request got an error instead of an endpoint's answer.
enum class RefusalReason {
  kMissingKey,
  kWrongKey,
  kInvalidJson,
  kInvalidRequest,
  kUnknownModel,
  kUnknownService,
  kNotReady,
  kLeaving,
  kCallerRate,
  kCallerInFlight,
  kQueueFull,
  kWaitTooLong,
  kQueueTimeout,
  kNoEndpoint,
  kRetriesExhausted,
  kEndpointFailed,
  kAnswerTooLarge,
  kDeadlineExceeded,
  kDrainLimit,
  kMissingIdempotencyKey,
  kIdempotencyKeyReused,
  kInProgress,
  kOutcomeUnknown,
  kAnswerNotKept,
  kTableUnavailable,
  kSendBoundExceeded,
};

inline constexpr int kRefusalReasonCount = static_cast<int>(RefusalReason::kSendBoundExceeded) + 1;

/// Error answer to a caller.
struct Refusal {
  RefusalReason reason;
  Outcome outcome = Outcome::kNotRun;
  std::optional<std::chrono::milliseconds> retry_after;

  bool operator==(const Refusal&) const = default;
};

/// Code of a reason in snake_case, as in error bodies and counters.
const char* NameOf(RefusalReason reason);

/// Renders a refusal as the typed error of an HTTP answer.
framework::HttpError ToHttpError(const Refusal& refusal);

}  // namespace lentilhead::online
