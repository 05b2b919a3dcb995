#include "online/types/refusal.h"

#include <array>

namespace lentilhead::online {

namespace {

struct ReasonText {
  RefusalReason reason;
  int status;
  const char* type;
  const char* code;
  const char* message;
};

constexpr const char* kInvalid = "invalid_request_error";
constexpr const char* kAuthentication = "authentication_error";
constexpr const char* kRateLimit = "rate_limit_error";
constexpr const char* kConflict = "conflict_error";
constexpr const char* kUnavailable = "unavailable_error";
constexpr const char* kEndpoint = "endpoint_error";
constexpr const char* kTimeout = "timeout_error";

constexpr std::array<ReasonText, kRefusalReasonCount> kReasons = {{
    {RefusalReason::kMissingKey, 401, kAuthentication, "missing_key",
     "the Authorization header has no bearer key"},
    {RefusalReason::kWrongKey, 401, kAuthentication, "wrong_key", "the key is not known"},
    {RefusalReason::kInvalidJson, 400, kInvalid, "invalid_json", "the body is not a JSON object"},
    {RefusalReason::kInvalidRequest, 400, kInvalid, "invalid_request",
     "a field or header is missing or has the wrong type"},
    {RefusalReason::kUnknownModel, 404, kInvalid, "unknown_model",
     "the sheet in force offers no such model"},
    {RefusalReason::kUnknownService, 404, kInvalid, "unknown_service",
     "the sheet in force offers no such service"},
    {RefusalReason::kNotReady, 503, kUnavailable, "not_ready", "the instance has no sheet yet"},
    {RefusalReason::kLeaving, 503, kUnavailable, "leaving", "the instance is shutting down"},
    {RefusalReason::kCallerRate, 429, kRateLimit, "caller_rate",
     "the caller sends more requests a second than its limit"},
    {RefusalReason::kCallerInFlight, 429, kRateLimit, "caller_in_flight",
     "the caller has as many requests in flight as its limit"},
    {RefusalReason::kQueueFull, 429, kRateLimit, "queue_full", "the queue of the service is full"},
    {RefusalReason::kWaitTooLong, 429, kRateLimit, "wait_too_long",
     "the expected wait is longer than the request may wait"},
    {RefusalReason::kQueueTimeout, 503, kUnavailable, "queue_timeout",
     "no endpoint became free in the time that the request may wait"},
    {RefusalReason::kNoEndpoint, 503, kUnavailable, "no_endpoint",
     "no endpoint of the service takes requests now"},
    {RefusalReason::kRetriesExhausted, 503, kUnavailable, "retries_exhausted",
     "every endpoint that was tried refused the request"},
    {RefusalReason::kEndpointFailed, 502, kEndpoint, "endpoint_failed",
     "an endpoint failed while it may have run the request"},
    {RefusalReason::kAnswerTooLarge, 502, kEndpoint, "answer_too_large",
     "the endpoint's answer is larger than the limit"},
    {RefusalReason::kDeadlineExceeded, 504, kTimeout, "deadline_exceeded",
     "the request's deadline passed"},
    {RefusalReason::kDrainLimit, 503, kUnavailable, "drain_limit",
     "the instance shut down before the answer was whole"},
    {RefusalReason::kMissingIdempotencyKey, 400, kInvalid, "missing_idempotency_key",
     "this call may not be repeated and needs an Idempotency-Key header"},
    {RefusalReason::kIdempotencyKeyReused, 422, kConflict, "idempotency_key_reused",
     "the Idempotency-Key was used with another request"},
    {RefusalReason::kInProgress, 409, kConflict, "in_progress",
     "the request with this Idempotency-Key is still running"},
    {RefusalReason::kOutcomeUnknown, 409, kConflict, "outcome_unknown",
     "the request with this Idempotency-Key may have run and will not be run again"},
    {RefusalReason::kAnswerNotKept, 409, kConflict, "answer_not_kept",
     "the request with this Idempotency-Key has run; its answer was too large to keep"},
    {RefusalReason::kTableUnavailable, 503, kUnavailable, "table_unavailable",
     "the call cannot be recorded now, so it was not sent"},
    {RefusalReason::kSendBoundExceeded, 503, kUnavailable, "send_bound_exceeded",
     "the call was recorded too long ago to be sent"},
}};

const ReasonText& TextOf(RefusalReason reason) {
  return kReasons.at(static_cast<std::size_t>(reason));
}

}  // namespace

const char* NameOf(RefusalReason reason) { return TextOf(reason).code; }

framework::HttpError ToHttpError(const Refusal& refusal) {
  const ReasonText& text = TextOf(refusal.reason);
  return {text.status,  text.type,           text.code,
          text.message, refusal.retry_after, NameOf(refusal.outcome)};
}

}  // namespace lentilhead::online
