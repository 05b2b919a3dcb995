#include "gateway/internal/endpoint_check.h"
#include "gateway/internal/online_run.h"
#include "gateway/types/prompt_part.h"
#include "net/log_line.h"

namespace lentilhead::gateway::internal {

using net::asio::awaitable;
using net::http::status;

bool OnlineRun::IsConnectionLoss(std::string_view cause) {
  return cause == NameOf(AttemptFailure::kUnknown) || cause == kStreamCutCause ||
         cause == kBodyCutCause;
}

awaitable<bool> OnlineRun::CheckEndpoint(const EndpointLease& lease, std::string_view cause) {
  if (!IsConnectionLoss(cause) || this->stage == AttemptStage::kAnswering ||
      this->routed.request.shared_parts.empty()) {
    co_return false;
  }
  co_return co_await EndpointCheck::HasEnded(this->gateway.executor,
                                             lease.Endpoint().entry.address);
}

awaitable<OnlineRun::Step> OnlineRun::AfterFailure(const EndpointLease& lease,
                                                   std::string_view cause) {
  const bool unreachable = cause == NameOf(AttemptFailure::kNotSent) ||
                           cause == NameOf(AttemptFailure::kTimedOut) ||
                           cause == kSilentStreamCause;
  if (cause != NameOf(AttemptFailure::kStale) && !this->silence_recorded) {
    EndpointFeedback::RecordFailure(lease.Endpoint(), net::Now(), unreachable);
  }
  const bool ended = co_await this->CheckEndpoint(lease, cause);
  this->gateway.metrics
      .GetCounter("gateway_attempt_failures_total", {{"cause", std::string(cause)}})
      .Add();
  net::LogLine("attempt_failed")
      .With("request", this->routed.request.id)
      .With("endpoint", this->last_endpoint)
      .With("cause", cause)
      .With("sent", this->record.sent)
      .With("last_event", this->last_event.value_or(-1))
      .With("framing", this->framing ? NameOf(*this->framing) : std::string_view("none"))
      .With("unfinished_bytes", this->unfinished_bytes)
      .With("suspect_failures", lease.Endpoint().failures_in_row)
      .With("stage", NameOf(this->stage))
      .With("endpoint_ended", ended)
      .With("parts", FormatPartKeys(this->routed.request.shared_parts));
  if (net::Now() >= this->routed.deadline) {
    co_await this->EndAtDeadline();
    co_return Step::kDone;
  }
  if (this->MayRetry()) {
    co_return Step::kRetry;
  }
  co_await this->Fail(status::bad_gateway, cause);
  co_return Step::kDone;
}

awaitable<OnlineRun::Step> OnlineRun::AfterNotExecuted(const EndpointLease& lease,
                                                       AnswerHead answer,
                                                       EndpointAttempt& attempt) {
  const BodyState rest = co_await attempt.Discard(this->routed.deadline);
  if (rest == BodyState::kOverLimit) {
    EndpointFeedback::RecordFailure(lease.Endpoint(), net::Now(), false);
  }
  net::LogLine("attempt_not_executed")
      .With("request", this->routed.request.id)
      .With("endpoint", this->last_endpoint)
      .With("status", answer.head.result_int())
      .With("own", lease.Endpoint().OwnTotal())
      .With("peers", lease.Endpoint().peer_online + lease.Endpoint().peer_batch);
  this->gateway.metrics
      .GetCounter("gateway_not_executed_total",
                  {{"status", std::to_string(answer.head.result_int())}})
      .Add();
  if (answer.decoded.other_instance) {
    EndpointFeedback::RecordReplacement(lease.Endpoint(), net::Now());
    co_return Step::kRetry;
  }
  EndpointFeedback::RecordFull(lease.Endpoint(), net::Now());
  const std::optional<ReportedLoad>& load = answer.decoded.load;
  const bool had_free_slot = load && load->running + load->waiting < lease.Endpoint().entry.slots;
  if (had_free_slot) {
    EndpointFeedback::RecordErrorAnswer(lease.Endpoint(), net::Now());
  }
  if (this->HasBegun() && this->routed.IsRepeatable()) {
    this->tried = {this->last_endpoint};
    co_await this->Pause(kRepeatPause);
    co_return Step::kRetry;
  }
  ++this->record.sent;
  if (this->MayRetry() && net::Now() < this->routed.deadline) {
    co_return Step::kRetry;
  }
  co_await this->Refuse("endpoint_full");
  co_return Step::kDone;
}

}  // namespace lentilhead::gateway::internal
