#include "gateway/gateway.h"
#include "gateway/internal/endpoint_check.h"
#include "gateway/internal/online_run.h"
#include "gateway/types/prompt_part.h"
#include "net/log_line.h"
#include "platform/request_key.h"

namespace lentilhead::gateway::internal {

using net::asio::awaitable;
using net::http::status;
using std::chrono::milliseconds;

bool OnlineRun::IsConnectionLoss(std::string_view cause) {
  return cause == NameOf(AttemptFailure::kUnknown) || cause == kStreamCutCause ||
         cause == kBodyCutCause;
}

const PromptKeys& OnlineRun::AllKeys() {
  InferenceRequest& request = this->routed.request;
  if (!request.keys.own) {
    request.keys.own = platform::RequestKeyOf(request.message);
  }
  return request.keys;
}

const PromptKeys& OnlineRun::Keys() {
  return this->gateway.quarantine.HasEvidence() ? this->AllKeys() : this->routed.request.keys;
}

void OnlineRun::RecordAnswer(bool is_success) {
  const PromptKeys& keys = this->Keys();
  this->gateway.quarantine.RecordAnswer(is_success ? keys : PromptKeys{{}, keys.own}, net::Now());
}

awaitable<EndpointFate> OnlineRun::RecordLoss(const EndpointLease& lease, std::string_view cause) {
  // Nothing is known of an endpoint that only this node has lost.
  if (!IsConnectionLoss(cause) || this->stage == AttemptStage::kAnswering ||
      this->IsPathSuspected(lease)) {
    co_return EndpointFate::kUnknown;
  }
  const net::SteadyTime lost_at = net::Now();
  const EndpointFate fate = co_await EndpointCheck::Observe(this->gateway, lease.Endpoint());
  const bool ended = fate == EndpointFate::kEnded;
  if (ended || fate == EndpointFate::kUnknown) {
    const RequestEnd end{this->routed.request.id, this->AllKeys(), lease.Endpoint().incarnation,
                         this->stage, ended};
    this->gateway.quarantine.RecordEnd(end, lost_at);
    this->retry_pause = this->gateway.quarantine.PauseBeforeRetry(end);
    this->may_send_again = this->gateway.quarantine.MaySendAgain(end);
  }
  co_return fate;
}

bool OnlineRun::IsPathSuspected(const EndpointLease& lease) const {
  return this->attempt->Through().has_value() ||
         this->gateway.paths.ExcusesFailure(lease.Endpoint().key);
}

awaitable<OnlineRun::Step> OnlineRun::AfterNoPath() {
  const bool may_wait = this->HasBegun() && this->MayRetry() && !this->HasUnconfirmedEnd();
  if (may_wait && net::Now() + kRepeatPause < this->routed.deadline) {
    this->tried.clear();
    co_await this->Pause(kRepeatPause);
    co_return Step::kRetry;
  }
  co_await this->Refuse("cut_off");
  co_return Step::kDone;
}

awaitable<void> OnlineRun::AwaitSuspicion() {
  milliseconds pause =
      this->gateway.quarantine.PauseBeforeSend(this->Keys(), this->routed.request.id, net::Now());
  if (pause > milliseconds(0)) {
    this->gateway.metrics.GetCounter("gateway_requests_paused_total").Add();
  }
  while (pause > milliseconds(0) && !this->cancel.IsCancelled() &&
         net::Now() + pause < this->routed.deadline) {
    co_await this->Pause(std::min(pause, kSuspicionCheckPeriod));
    pause =
        this->gateway.quarantine.PauseBeforeSend(this->Keys(), this->routed.request.id, net::Now());
  }
}

PartVerdict OnlineRun::Verdict() {
  return this->gateway.quarantine.Check(this->Keys(), net::Now());
}

awaitable<void> OnlineRun::RefuseHeld(PartHeld held) {
  this->held_part = held.part;
  const bool is_request = held.part == this->routed.request.keys.own;
  co_await this->Refuse(is_request ? "request_held" : "part_held", held.retry_after);
}

awaitable<OnlineRun::Step> OnlineRun::AfterFailure(const EndpointLease& lease,
                                                   std::string_view cause) {
  const bool unreachable = cause == NameOf(AttemptFailure::kNotSent) ||
                           cause == NameOf(AttemptFailure::kTimedOut) ||
                           cause == kSilentStreamCause;
  const bool is_excused = cause != NameOf(AttemptFailure::kNotSent) &&
                          (unreachable || IsConnectionLoss(cause)) && this->IsPathSuspected(lease);
  if (this->attempt->Through() && is_excused) {
    this->gateway.paths.RecordBroken(*this->attempt->Through());
  }
  const bool tells_nothing = cause == kEndUnconfirmedCause;
  if (!this->silence_recorded && !is_excused && !tells_nothing) {
    EndpointFeedback::RecordFailure(lease.Endpoint(), net::Now(), unreachable);
  }
  const EndpointFate fate = co_await this->RecordLoss(lease, cause);
  this->gateway.metrics
      .GetCounter("gateway_attempt_failures_total", {{"cause", std::string(cause)}})
      .Add();
  net::LogLine("attempt_failed")
      .With("request", this->routed.request.id)
      .With("endpoint", this->last_endpoint)
      .With("cause", cause)
      .With("sent", this->record.sent)
      .With("stage", NameOf(this->stage))
      .With("framing", this->framing ? NameOf(*this->framing) : std::string_view("none"))
      .With("fate", NameOf(is_excused ? EndpointFate::kCutOff : fate))
      .With("last_event", this->sequence.LastEvent().value_or(-1))
      .With("left_ms", net::ToMilliseconds(this->routed.deadline - net::Now()).count())
      .With("through", this->attempt->Through() ? this->attempt->Through()->to_string() : "")
      .With("endpoint_ended", fate == EndpointFate::kEnded)
      .With("endpoint_cut_off", is_excused || fate == EndpointFate::kCutOff)
      .With("endpoint_alive", fate == EndpointFate::kAlive)
      .With("unfinished_bytes", this->unfinished_bytes)
      .With("suspect_failures", lease.Endpoint().failures_in_row)
      .With("parts", FormatPartKeys(this->routed.request.keys.shared))
      .With("request_key", this->routed.request.keys.own
                               ? FormatPartKey(*this->routed.request.keys.own)
                               : std::string("none"))
      .With("body_bytes", this->routed.request.message.body().size());
  if (net::Now() >= this->routed.deadline) {
    co_await this->EndAtDeadline();
    co_return Step::kDone;
  }
  if (this->MayRetry()) {
    co_await this->Pause(std::exchange(this->retry_pause, milliseconds(0)));
    co_return Step::kRetry;
  }
  if (this->HasUnconfirmedEnd()) {
    co_return Step::kUnconfirmed;
  }
  co_await this->Fail(status::bad_gateway, cause);
  co_return Step::kDone;
}

awaitable<OnlineRun::Step> OnlineRun::AfterNotExecuted(const EndpointLease& lease,
                                                       AnswerHead answer,
                                                       EndpointAttempt& attempt) {
  const BodyState rest = co_await attempt.Discard(this->AttemptLimit());
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
  if (answer.decoded.other_weights) {
    co_return Step::kRetry;
  }
  EndpointFeedback::RecordFull(lease.Endpoint(), net::Now());
  const std::optional<ReportedLoad>& load = answer.decoded.load;
  const bool had_free_slot = load && load->running + load->waiting < lease.Endpoint().entry.slots;
  if (had_free_slot) {
    EndpointFeedback::RecordErrorAnswer(lease.Endpoint(), net::Now());
  }
  if (this->HasBegun() && this->routed.IsRepeatable() && !this->HasUnconfirmedEnd()) {
    this->tried = {this->last_endpoint};
    co_await this->Pause(kRepeatPause);
    co_return Step::kRetry;
  }
  ++this->record.sent;
  if (this->MayRetry() && net::Now() < this->routed.deadline) {
    co_return Step::kRetry;
  }
  if (this->HasUnconfirmedEnd()) {
    co_return Step::kUnconfirmed;
  }
  co_await this->Refuse("endpoint_full");
  co_return Step::kDone;
}

}  // namespace lentilhead::gateway::internal
