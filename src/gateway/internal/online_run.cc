#include "gateway/internal/online_run.h"

#include <algorithm>

#include "gateway/internal/answers.h"
#include "gateway/refusal_policy.h"
#include "net/backoff.h"
#include "net/log_line.h"
#include "platform/request_codec.h"

namespace lentilhead::gateway::internal {

namespace {

using net::asio::awaitable;
using net::http::status;
using std::chrono::milliseconds;

/// Reason that is told for a refusal when all endpoints are full.
std::string_view ReasonOf(admission::RefusalCause cause) {
  switch (cause) {
    case admission::RefusalCause::kOverShare:
      return "over_share";
    case admission::RefusalCause::kPredictedLate:
      return "predicted_late";
    case admission::RefusalCause::kNoSlotInTime:
      break;
  }
  return "all_full";
}

placement::CostQuery CostQueryOf(const RoutedRequest& routed) {
  placement::CostQuery query;
  query.route = PartKeyOf(routed.route->Key());
  query.customer = routed.customer == nullptr ? 0 : PartKeyOf(routed.customer->name);
  query.is_stream = routed.route->kind == RouteKind::kStream;
  query.stated = routed.request.cost;
  return query;
}

}  // namespace

OnlineRun::OnlineRun(Gateway& gateway, CallerSession& session, CancelScope& cancel,
                     RoutedRequest routed)
    : gateway(gateway),
      session(session),
      cancel(cancel),
      routed(std::move(routed)),
      work(gateway, this->routed.service, CostQueryOf(this->routed)),
      silence(gateway.executor, [this] { return this->LeaveSilentEndpoint(); }),
      sequence(this->routed.request.last_event_id) {}

bool OnlineRun::MayRetry() const {
  return this->may_send_again && this->sequence.MayResume() &&
         AttemptPolicy::MayRetry(*this->routed.route, this->record, this->routed.IsRepeatable());
}

void OnlineRun::Count(const char* outcome, std::string_view reason) {
  this->gateway.CountOutcome(outcome, reason);
  const auto duration = net::Now() - this->routed.arrival;
  this->gateway.metrics.GetLatency("gateway_request_seconds", {{"outcome", outcome}})
      .Record(duration);
  if (std::string_view(outcome) == "served") {
    this->gateway.durations.Record(this->routed.route->Key(), net::ToMilliseconds(duration));
  }
}

void OnlineRun::AddEnd(net::LogLine& line) const {
  if (this->framing) {
    line.With("framing", NameOf(*this->framing));
  }
  if (!this->end) {
    return;
  }
  line.With("ended_by", this->SignOfEnd());
  if (!this->confirmation.empty()) {
    line.With("claimed_by", this->claimer);
  }
  line.With("body", this->end->received);
  if (this->end->length) {
    line.With("length", *this->end->length);
  }
  if (this->end->is_framed) {
    line.With("behind", this->end->behind);
  }
}

void OnlineRun::LogOutcome(std::string_view outcome, std::string_view reason, int status) {
  const net::SteadyTime now = net::Now();
  const bool is_served = outcome == "served";
  // An answer that was put together of several attempts may be wrong although it was served.
  const bool routine = is_served && this->record.sent <= 1 && !this->IsEndDoubtful();
  if (is_served && this->end) {
    this->gateway.metrics
        .GetCounter("gateway_answers_ended_total", {{"by", std::string(this->SignOfEnd())}})
        .Add();
  }
  this->work.RecordEnd(this->routed.request.id, is_served, now);
  net::LogLine line("request_end",
                    routine ? net::LogImportance::kRoutine : net::LogImportance::kNotable);
  line.With("request", this->routed.request.id)
      .With("outcome", outcome)
      .With("reason", reason)
      .With("endpoint", this->last_endpoint)
      .With("sent", this->record.sent);
  this->AddEnd(line);
  line.With("status", status)
      .With("ms", net::ToMilliseconds(now - this->routed.arrival).count())
      .With("left_ms", net::ToMilliseconds(this->routed.deadline - now).count());
  if (this->routed.route->kind == RouteKind::kStream) {
    line.With("last_event", this->sequence.LastEvent().value_or(-1))
        .With("unfinished_bytes", this->unfinished_bytes)
        .With("first_event", this->sequence.FirstOfAnswer().value_or(-1));
  }
  line.With("route", this->routed.route->name)
      .With("config", this->routed.config->version)
      .With("maybe_run", this->record.maybe_run);
  if (this->first_event != net::SteadyTime{}) {
    line.With("first_event_ms",
              net::ToMilliseconds(this->first_event - this->routed.arrival).count());
  }
}

awaitable<void> OnlineRun::Refuse(std::string_view reason) {
  co_await this->Refuse(reason, RefusalPolicy::RetryAfter(net::RandomFraction()));
}

awaitable<void> OnlineRun::Refuse(std::string_view reason, milliseconds wait) {
  if (this->HasUnconfirmedEnd()) {
    co_await this->EndUnconfirmed();
    co_return;
  }
  if (this->stream_begun) {
    this->Count("cut", reason);
    this->LogOutcome("cut", reason, 0);
    this->session.Abort();
    co_return;
  }
  if (this->record.maybe_run) {
    co_await this->Fail(status::bad_gateway, reason);
    co_return;
  }
  this->Count("refused", reason);
  net::LogLine("request_refused")
      .With("request", this->routed.request.id)
      .With("reason", reason)
      .With("service", this->routed.service)
      .With("waiting", this->gateway.admission.Waiting(this->routed.service))
      .With("occupancy", this->gateway.registry.Occupancy(this->routed.service, net::Now()))
      .With("retry_after_ms", wait.count())
      .With("part", this->held_part ? FormatPartKey(*this->held_part) : "none")
      .With("path", this->held_part ? this->routed.request.path : "")
      .With("ms", net::ToMilliseconds(net::Now() - this->routed.arrival).count());
  net::Response response = MakeRefusalResponse(reason, wait);
  co_await this->session.Send(std::move(response), this->WriteLimit());
}

awaitable<void> OnlineRun::RefuseFull(const AdmissionOutcome& outcome) {
  const net::SteadyTime now = net::Now();
  const std::string_view reason = ReasonOf(outcome.cause);
  this->CountAdmission(reason);
  if (this->routed.config->customers.IsEmpty()) {
    co_await this->Refuse(reason);
    co_return;
  }
  Admission& admission = this->gateway.admission;
  if (outcome.cause == admission::RefusalCause::kOverShare) {
    const admission::CustomerShare share =
        admission.ShareOf(this->routed.service, this->CustomerKey());
    net::LogLine("request_over_share")
        .With("request", this->routed.request.id)
        .With("service", this->routed.service)
        .With("customer", this->routed.customer == nullptr ? "" : this->routed.customer->name)
        .With("customer_slots", share.use)
        .With("share_slots", share.level)
        .With("own", share.own)
        .With("own_share", share.own_limit);
  }
  const milliseconds to_capacity = admission.TimeToCapacity(
      this->routed.service, this->CustomerKey(), outcome,
      RefusalPolicy::LongestTimeToCapacity(*this->routed.route, now, this->routed.deadline));
  co_await this->Refuse(reason, RefusalPolicy::RetryAfterFull(to_capacity, net::RandomFraction()));
}

void OnlineRun::CountAdmission(std::string_view decision) {
  this->gateway.metrics.GetCounter("gateway_admission_total", {{"decision", std::string(decision)}})
      .Add();
}

awaitable<void> OnlineRun::Fail(status code, std::string_view reason) {
  if (this->HasUnconfirmedEnd()) {
    co_await this->EndUnconfirmed();
    co_return;
  }
  this->Count("failed", reason);
  this->LogOutcome(this->stream_begun ? "cut" : "failed", reason, static_cast<int>(code));
  if (this->stream_begun) {
    this->session.Abort();
    co_return;
  }
  net::Response response = MakeErrorResponse(code, reason);
  co_await this->session.Send(std::move(response), this->WriteLimit());
}

awaitable<void> OnlineRun::EndAtDeadline() {
  if (this->record.sent > 0) {
    co_await this->Fail(status::gateway_timeout, "deadline");
  } else {
    co_await this->Refuse("deadline");
  }
}

awaitable<void> OnlineRun::Pause(milliseconds span) {
  if (span == milliseconds(0)) {
    co_return;
  }
  net::asio::steady_timer timer(this->gateway.executor, span);
  this->cancel.OnCancel([&timer] { timer.cancel(); });
  if (!this->cancel.IsCancelled()) {
    co_await timer.async_wait(net::kAwaitWithError);
  }
  this->cancel.OnCancel(nullptr);
}

ChoiceRequest OnlineRun::MakeChoice() {
  ChoiceRequest choice{this->routed.service, this->tried, WorkClass::kOnline};
  choice.customer = this->CustomerKey();
  this->work.AddTo(choice, this->routed.config->EndpointMemory(this->routed.service), net::Now());
  return choice;
}

WaitTerms OnlineRun::MakeTerms() const {
  WaitTerms terms;
  terms.priority = this->routed.Priority();
  terms.customer = this->CustomerKey();
  terms.until = this->HasBegun() ? this->routed.deadline
                                 : RefusalPolicy::WaitUntil(*this->routed.route, net::Now(),
                                                            this->routed.deadline);
  if (this->HasUnconfirmedEnd()) {
    terms.until = std::min(terms.until, net::Now() + kConfirmationWait);
  }
  if (!this->routed.config->customers.IsEmpty()) {
    terms.objectives = WaitObjectives{this->routed.arrival, this->routed.route->target_latency,
                                      this->routed.deadline};
  }
  return terms;
}

awaitable<AdmissionOutcome> OnlineRun::AcquireSlot() {
  if (this->next) {
    co_return AdmissionOutcome{std::move(this->next), NoChoice::kChosen};
  }
  const WaitTerms terms = this->MakeTerms();
  ChoiceRequest choice = this->MakeChoice();
  choice.has_begun = this->HasBegun();
  AdmissionOutcome admitted = co_await this->gateway.admission.Acquire(choice, terms, this->cancel);
  const bool has_tried_all = admitted.reason == NoChoice::kNoUsable && !this->tried.empty();
  if (admitted.lease || !has_tried_all || !this->stream_begun) {
    co_return admitted;
  }
  this->tried.clear();
  co_await this->Pause(kRepeatPause);
  choice.excluded.clear();
  co_return co_await this->gateway.admission.Acquire(std::move(choice), terms, this->cancel);
}

net::SteadyTime OnlineRun::AttemptLimit() const {
  return this->HasUnconfirmedEnd() ? std::min(this->routed.deadline, this->confirm_until)
                                   : this->routed.deadline;
}

bool OnlineRun::LeaveSilentEndpoint() {
  const milliseconds left = net::ToMilliseconds(this->routed.deadline - net::Now());
  const bool is_plain_body =
      this->stage == AttemptStage::kBegun && this->routed.route->kind != RouteKind::kStream;
  if (is_plain_body && AttemptPolicy::IsOnCourse(this->attempt->Progress(), left)) {
    return false;
  }
  const bool is_excused = this->attempt->Through().has_value() ||
                          this->gateway.paths.ExcusesFailure(this->endpoint->key);
  if (!is_excused && !std::exchange(this->silence_recorded, true)) {
    EndpointFeedback::RecordFailure(*this->endpoint, net::Now(), true);
  }
  ChoiceRequest choice = this->MakeChoice();
  choice.only_healthy = true;
  AdmissionOutcome admitted = this->gateway.admission.TryAcquire(choice);
  if (!admitted.lease) {
    return false;
  }
  this->next = std::move(admitted.lease);
  this->attempt->Interrupt();
  return true;
}

awaitable<void> OnlineRun::Run() {
  Step step = Step::kRetry;
  while ((step == Step::kRetry || step == Step::kUnconfirmed) && !this->cancel.IsCancelled()) {
    if (step == Step::kUnconfirmed) {
      step = co_await this->AskAgain();
      continue;
    }
    const net::SteadyTime now = net::Now();
    if (now >= this->AttemptLimit()) {
      co_await this->EndAtDeadline();
      co_return;
    }
    co_await this->AwaitSuspicion();
    const PartVerdict verdict = this->Verdict();
    if (const auto* held = std::get_if<PartHeld>(&verdict)) {
      co_await this->RefuseHeld(*held);
      co_return;
    }
    if (this->gateway.paths.IsIsolated()) {
      step = co_await this->AfterNoPath();
      continue;
    }
    AdmissionOutcome admitted = co_await this->AcquireSlot();
    if (this->cancel.IsCancelled()) {
      break;
    }
    if (!admitted.lease && this->HasUnconfirmedEnd()) {
      step = Step::kUnconfirmed;
      continue;
    }
    if (!admitted.lease) {
      if (admitted.permit_wait) {
        co_await this->Refuse("endpoint_limits", RefusalPolicy::RetryAfterPermit(
                                                     *admitted.permit_wait, net::RandomFraction()));
        co_return;
      }
      if (admitted.reason == NoChoice::kAllFull) {
        co_await this->RefuseFull(admitted);
      } else if (admitted.reason == NoChoice::kTooLarge) {
        co_await this->Refuse("too_large", RefusalPolicy::kTooLargeRetryAfter);
      } else {
        co_await this->Refuse("no_endpoint");
      }
      co_return;
    }
    this->CountAdmission(admitted.has_waited ? "after_wait" : "at_once");
    step = co_await this->TryEndpoint(std::move(admitted.lease));
  }
  if (step != Step::kDone) {
    co_await this->EndCancelled();
  }
}

awaitable<void> OnlineRun::EndCancelled() {
  if (this->cancel.Cause() == CancelCause::kNodeExit) {
    co_await this->Refuse("leaving", RefusalPolicy::kOtherNodeRetryAfter);
    co_return;
  }
  this->Count("gone", "caller_closed");
  this->LogOutcome("gone", "caller_closed", 0);
}

void OnlineRun::LogAttempt(const EndpointState& endpoint, net::SteadyTime now) {
  net::LogLine line("attempt_sent", net::LogImportance::kRoutine);
  line.With("request", this->routed.request.id)
      .With("endpoint", endpoint.entry.id)
      .With("attempt", this->tried.size())
      .With("own", endpoint.OwnTotal())
      .With("peers", endpoint.peer_online + endpoint.peer_batch)
      .With("slots", endpoint.entry.slots)
      .With("waited_ms", net::ToMilliseconds(now - this->routed.arrival).count())
      .With("config", this->routed.config->version)
      .With("limit", this->gateway.registry.Limits().LimitOf(endpoint.incarnation));
  if (endpoint.reported) {
    line.With("reported", endpoint.reported->running + endpoint.reported->waiting)
        .With("report_age_ms", net::ToMilliseconds(now - endpoint.reported_at).count());
  }
}

awaitable<OnlineRun::Step> OnlineRun::TryEndpoint(EndpointLease lease) {
  const PartVerdict verdict = this->Verdict();
  if (const auto* held = std::get_if<PartHeld>(&verdict)) {
    lease.Release();
    co_await this->RefuseHeld(*held);
    co_return Step::kDone;
  }
  const net::SteadyTime now = net::Now();
  if (const auto* probe = std::get_if<PartProbe>(&verdict)) {
    this->gateway.quarantine.RecordProbe(probe->part, now);
  }
  const Route& route = *this->routed.route;
  this->framing.reset();
  this->end.reset();
  this->unfinished_bytes = 0;
  this->stage = AttemptStage::kUnanswered;
  this->attempt_start = now;
  this->last_endpoint = lease.Endpoint().entry.id;
  this->tried.push_back(this->last_endpoint);
  const bool may_retry = this->routed.IsRepeatable() && this->record.sent + 1 < route.max_attempts;
  AttemptOptions options{this->last_endpoint, net::ToMilliseconds(this->routed.deadline - now),
                         this->sequence.LastEvent(), !this->routed.config->customers.IsEmpty(),
                         this->routed.customer == nullptr ? "" : this->routed.customer->name};
  net::Request message = platform::EncodeAttempt(this->routed.request, options);
  EndpointFeedback::RecordAttempt(lease.Endpoint(), now);
  this->LogAttempt(lease.Endpoint(), now);
  this->work.RecordSent(lease, this->routed.request.id, now);
  EndpointAttempt attempt(this->gateway, lease.Shared(), this->cancel);
  this->attempt = &attempt;
  this->endpoint = &lease.Endpoint();
  this->silence_recorded = false;
  if (may_retry) {
    this->silence.Start(
        AttemptPolicy::SilentWithoutAnswerAt(route, now, this->routed.deadline, true));
  }
  EndpointAttempt::StartOutcome outcome = co_await attempt.Start(
      std::move(message), this->routed.request.id, AttemptLimits{this->AttemptLimit(), may_retry});
  if (this->silence.Stop()) {
    outcome = AttemptFailure::kTimedOut;
  }
  const auto* failure = std::get_if<AttemptFailure>(&outcome);
  const bool is_sent = failure != nullptr && *failure != AttemptFailure::kNotSent &&
                       *failure != AttemptFailure::kNoPath;
  if (is_sent) {
    ++this->record.sent;
    this->record.maybe_run = true;
  }
  if (this->cancel.IsCancelled()) {
    this->record.maybe_run = this->record.maybe_run || failure == nullptr;
    co_return Step::kCancelled;
  }
  if (failure != nullptr && *failure == AttemptFailure::kNoPath) {
    lease.Release();
    co_return co_await this->AfterNoPath();
  }
  if (failure != nullptr) {
    const std::string_view cause = NameOf(*failure);
    co_return co_await this->AfterFailure(lease, cause);
  }
  AnswerHead answer = std::move(std::get<AnswerHead>(outcome));
  co_return co_await this->HandleAnswer(attempt, lease, std::move(answer));
}

std::optional<std::string_view> OnlineRun::CauseToReject(const AnswerHead& answer) const {
  const bool is_success = answer.head.result_int() / 100 == 2;
  if (this->stream_begun && !(is_success && answer.decoded.HasEvents())) {
    return kResumeRefusedCause;
  }
  if (is_success && !answer.decoded.is_signed) {
    return kUnsignedCause;
  }
  if (is_success && answer.decoded.is_encoded && !this->routed.request.accepts_encoding) {
    return kEncodedCause;
  }
  return std::nullopt;
}

awaitable<OnlineRun::Step> OnlineRun::HandleAnswer(EndpointAttempt& attempt,
                                                   const EndpointLease& lease, AnswerHead answer) {
  if (answer.decoded.load) {
    this->gateway.registry.RecordLoad(lease.Endpoint(), *answer.decoded.load, net::Now());
  }
  const int code = static_cast<int>(answer.head.result_int());
  const bool is_refusal = code == 503 || code == 429 || code == 421;
  if (code == 421 || (answer.decoded.not_executed && is_refusal)) {
    co_return co_await this->AfterNotExecuted(lease, std::move(answer), attempt);
  }
  this->stage = AttemptStage::kBegun;
  ++this->record.sent;
  this->record.maybe_run = !answer.decoded.not_executed || this->record.maybe_run;
  EndpointFeedback::RecordAnswer(lease.Endpoint(), net::Now());
  if (const std::optional<std::string_view> cause = this->CauseToReject(answer)) {
    attempt.Abort();
    co_return co_await this->AfterFailure(lease, *cause);
  }
  const bool is_success = code / 100 == 2;
  if (is_success && this->routed.route->kind == RouteKind::kStream && answer.decoded.HasEvents()) {
    co_return co_await this->ForwardStream(attempt, lease, std::move(answer));
  }
  co_return co_await this->ForwardWholeAnswer(attempt, lease, std::move(answer));
}

}  // namespace lentilhead::gateway::internal
