#include "online/internal/attempt_machine.h"

#include <algorithm>
#include <utility>

#include "framework/broken_json.h"
#include "online/internal/answer_class.h"
#include "online/internal/invariant.h"

namespace lentilhead::online::internal {

namespace {

using endpoint::AttemptEnd;

constexpr int kOk = 200;
constexpr std::chrono::milliseconds kRetryAfter{1'000};
constexpr const char* kDoneEvent = "data: [DONE]\n\n";

/// True if no endpoint can have run an attempt that failed for this reason.
bool IsNotRun(RetryReason reason) {
  switch (reason) {
    case RetryReason::kNoEndpoint:
    case RetryReason::kNotSent:
    case RetryReason::kBusy:
    case RetryReason::kDraining:
    case RetryReason::kModelNotLoaded:
      return true;
    case RetryReason::kConnectionLost:
    case RetryReason::kTimeout:
    case RetryReason::kErrorStatus:
    case RetryReason::kStreamCut:
      return false;
  }
  return false;
}

std::string_view ContentTypeOf(const AnswerHeaders& headers) {
  const auto found = std::find_if(headers.begin(), headers.end(), [](const auto& header) {
    return header.first == "content-type";
  });
  std::string_view type;
  if (found != headers.end()) {
    type = found->second;
  }
  return type;
}

bool IsNotSent(RetryReason reason) {
  return reason == RetryReason::kNoEndpoint || reason == RetryReason::kNotSent;
}

}  // namespace

struct AttemptMachine::Visitor {
  AttemptMachine& machine;

  void operator()(const NoEndpoint& event) const { this->machine.OnNoEndpoint(event); }
  void operator()(const AnswerHead& event) const { this->machine.OnHead(event); }
  void operator()(const AnswerData& event) const { this->machine.OnData(event); }
  void operator()(const AnswerEnd& event) const { this->machine.OnEnd(event); }
  void operator()(const BackoffElapsed& /*event*/) const { this->machine.OnBackoffElapsed(); }
  void operator()(const DeadlineReached& /*event*/) const {
    this->machine.Abort(RefusalReason::kDeadlineExceeded);
  }
  void operator()(const CallerDisconnected& /*event*/) const {
    this->machine.OnCallerDisconnected();
  }
  void operator()(const DrainLimitReached& /*event*/) const {
    this->machine.Abort(RefusalReason::kDrainLimit);
  }
};

AttemptMachine::AttemptMachine(AttemptPolicy policy, RetryBudget& budget, std::string body,
                               std::uint64_t seed)
    : policy(policy),
      budget(budget),
      body(std::move(body)),
      backoff(policy.first_delay, policy.longest_delay, seed) {}

AttemptEffects AttemptMachine::Start(framework::MonotonicTime time) {
  this->now = time;
  this->budget.OnFirstAttempt();
  this->BeginAttempt();
  return std::exchange(this->effects, {});
}

AttemptEffects AttemptMachine::Handle(const AttemptEvent& event, framework::MonotonicTime time) {
  this->now = time;
  std::visit(Visitor{*this}, event);
  return std::exchange(this->effects, {});
}

Outcome AttemptMachine::CurrentOutcome() const {
  const bool sent = this->may_have_run || this->stream_started || this->phase == Phase::kAttempt;
  return sent ? Outcome::kUnknown : Outcome::kNotRun;
}

void AttemptMachine::BeginAttempt() {
  this->phase = Phase::kAttempt;
  this->attempt += 1;
  this->status = 0;
  this->headers.clear();
  this->streaming = false;
  this->first_byte_seen = false;
  this->answer.clear();
  this->scanner = SseScanner();
  this->effects.emplace_back(SendAttempt{this->attempt, this->resume_body});
}

bool AttemptMachine::IsCurrent(int number) const {
  return this->phase == Phase::kAttempt && number == this->attempt;
}

void AttemptMachine::OnNoEndpoint(const NoEndpoint& event) {
  if (!this->IsCurrent(event.attempt)) {
    return;
  }
  this->FailAttempt(RetryReason::kNoEndpoint, AttemptEnd::kCancelledByCaller);
}

void AttemptMachine::OnHead(const AnswerHead& event) {
  if (!this->IsCurrent(event.attempt)) {
    return;
  }
  this->status = event.status;
  this->headers = event.headers;
  this->streaming = this->policy.streamed && event.status == kOk && event.event_stream;
}

void AttemptMachine::OnData(const AnswerData& event) {
  if (!this->IsCurrent(event.attempt)) {
    if (event.attempt != this->attempt) {
      this->effects.emplace_back(LateBytes{event.bytes.size()});
    }
    return;
  }
  if (this->streaming) {
    this->OnStreamData(event.bytes);
    return;
  }
  if (this->answer.size() + event.bytes.size() > this->policy.max_answer_bytes) {
    this->Abort(RefusalReason::kAnswerTooLarge);
    return;
  }
  this->answer.append(event.bytes);
}

void AttemptMachine::OnStreamData(std::string_view bytes) {
  if (!std::exchange(this->first_byte_seen, true)) {
    this->effects.emplace_back(FirstByte{});
  }
  SseScanner::ScanResult result = this->scanner.Feed(bytes);
  if (!result.events.empty()) {
    this->Forward(std::move(result.events));
  }
  if (result.end == SseScanner::End::kDone) {
    this->effects.emplace_back(ReportAttempt{this->attempt, AttemptEnd::kSucceeded});
    this->End(FinishStream{});
    return;
  }
  if (result.end == SseScanner::End::kError) {
    this->effects.emplace_back(CancelAttempt{this->attempt});
    this->FailAttempt(RetryReason::kErrorStatus, AttemptEnd::kFailed);
    return;
  }
  if (this->scanner.PendingSize() > this->policy.max_answer_bytes) {
    this->Abort(RefusalReason::kAnswerTooLarge);
  }
}

void AttemptMachine::Forward(std::string events) {
  if (!this->stream_started) {
    this->stream_started = true;
    this->effects.emplace_back(StartStream{this->headers});
  }
  if (this->resumed_attempt == this->attempt) {
    events = RewriteResumedEvents(events, this->stream_id);
  }
  if (events.empty()) {
    return;
  }
  if (this->policy.resumable) {
    this->transcript.Append(events);
  }
  this->effects.emplace_back(ForwardEvents{std::move(events)});
}

void AttemptMachine::OnEnd(const AnswerEnd& event) {
  if (!this->IsCurrent(event.attempt)) {
    return;
  }
  if (event.failure && !event.failure->request_started) {
    this->FailAttempt(RetryReason::kNotSent, AttemptEnd::kFailed);
    return;
  }
  if (event.failure) {
    const RetryReason broken =
        this->streaming ? RetryReason::kStreamCut : RetryReason::kConnectionLost;
    this->FailAttempt(event.failure->timed_out ? RetryReason::kTimeout : broken,
                      AttemptEnd::kFailed);
    return;
  }
  if (this->streaming) {
    this->FailAttempt(RetryReason::kStreamCut, AttemptEnd::kFailed);
    return;
  }
  this->OnWholeAnswer();
}

void AttemptMachine::OnWholeAnswer() {
  switch (Classify(this->status, this->answer, this->policy.engine)) {
    case AnswerClass::kBusy:
      this->FailAttempt(RetryReason::kBusy, AttemptEnd::kRefusedBusy);
      return;
    case AnswerClass::kDraining:
      this->FailAttempt(RetryReason::kDraining, AttemptEnd::kRefusedDraining);
      return;
    case AnswerClass::kModelNotLoaded:
      this->FailAttempt(RetryReason::kModelNotLoaded, AttemptEnd::kRefusedBusy);
      return;
    case AnswerClass::kFailure:
      this->FailAttempt(RetryReason::kErrorStatus, AttemptEnd::kFailed);
      return;
    case AnswerClass::kAnswer:
      break;
  }
  if (this->policy.engine && this->status == kOk &&
      framework::IsBrokenJson(ContentTypeOf(this->headers), this->answer)) {
    this->FailAttempt(RetryReason::kConnectionLost, AttemptEnd::kFailed);
    return;
  }
  this->effects.emplace_back(ReportAttempt{this->attempt, AttemptEnd::kSucceeded});
  if (this->stream_started) {
    // The resumed attempt was answered without a stream, so the caller's stream cannot continue.
    this->may_have_run = true;
    this->GiveUp(RetryReason::kErrorStatus);
    return;
  }
  this->End(WholeAnswer{this->status, std::move(this->headers), std::move(this->answer)});
}

void AttemptMachine::FailAttempt(RetryReason reason, AttemptEnd end) {
  this->phase = Phase::kIdle;
  if (reason != RetryReason::kNoEndpoint) {
    this->effects.emplace_back(ReportAttempt{this->attempt, end});
  }
  if (!IsNotRun(reason)) {
    this->may_have_run = true;
  }
  std::string next_body;
  if (!this->MayRetry(reason, &next_body)) {
    if (this->phase != Phase::kEnded) {
      this->GiveUp(reason);
    }
    return;
  }
  const std::chrono::milliseconds delay = this->backoff.Next();
  if (this->now + delay >= this->policy.deadline) {
    this->GiveUp(reason);
    return;
  }
  this->resume_body = std::move(next_body);
  this->phase = Phase::kBackoff;
  this->effects.emplace_back(WaitBackoff{delay, reason});
}

bool AttemptMachine::MayRetry(RetryReason reason, std::string* next_body) {
  if (!this->policy.repeatable && this->may_have_run) {
    return false;
  }
  if (this->policy.single_send && !IsNotSent(reason)) {
    return false;
  }
  if (this->stream_started && !this->PrepareResume(next_body)) {
    return false;
  }
  return this->attempt < this->policy.max_attempts && this->budget.TryTake();
}

bool AttemptMachine::PrepareResume(std::string* next_body) {
  if (!this->policy.resumable) {
    return false;
  }
  const StreamTranscript::Content content = this->transcript.Read();
  if (content.resumable && content.finished) {
    // Every token has been forwarded; only the end mark of the stream was lost.
    this->effects.emplace_back(ForwardEvents{kDoneEvent});
    this->End(FinishStream{});
    return false;
  }
  std::optional<std::string> built = BuildResumeBody(this->body, content);
  if (!built) {
    return false;
  }
  *next_body = *std::move(built);
  this->stream_id = content.id;
  this->resumed_attempt = this->attempt + 1;
  return true;
}

void AttemptMachine::OnBackoffElapsed() {
  if (this->phase == Phase::kBackoff) {
    this->BeginAttempt();
  }
}

void AttemptMachine::GiveUp(RetryReason reason) {
  if (this->stream_started) {
    this->End(FailStream{{RefusalReason::kEndpointFailed, Outcome::kUnknown, kRetryAfter}});
    return;
  }
  if (this->may_have_run) {
    this->End(Refuse{{RefusalReason::kEndpointFailed, Outcome::kUnknown, kRetryAfter}});
    return;
  }
  const bool none = reason == RetryReason::kNoEndpoint;
  this->End(Refuse{{none ? RefusalReason::kNoEndpoint : RefusalReason::kRetriesExhausted,
                    Outcome::kNotRun, kRetryAfter}});
}

void AttemptMachine::Abort(RefusalReason reason) {
  if (this->phase == Phase::kEnded) {
    return;
  }
  if (this->phase == Phase::kAttempt) {
    this->may_have_run = true;
    this->effects.emplace_back(ReportAttempt{this->attempt, AttemptEnd::kCancelledByCaller});
    this->effects.emplace_back(CancelAttempt{this->attempt});
  }
  const Refusal refusal{reason, this->may_have_run ? Outcome::kUnknown : Outcome::kNotRun,
                        kRetryAfter};
  if (this->stream_started) {
    this->End(FailStream{refusal});
    return;
  }
  this->End(Refuse{refusal});
}

void AttemptMachine::OnCallerDisconnected() {
  if (this->phase == Phase::kEnded) {
    return;
  }
  if (this->phase == Phase::kAttempt) {
    this->effects.emplace_back(ReportAttempt{this->attempt, AttemptEnd::kCancelledByCaller});
    this->effects.emplace_back(CancelAttempt{this->attempt});
  }
  this->phase = Phase::kEnded;
}

void AttemptMachine::End(AttemptEffect effect) {
  Require(this->phase != Phase::kEnded, Invariant::kOneFinalAnswer);
  if (const auto* refuse = std::get_if<Refuse>(&effect)) {
    Require(refuse->refusal.outcome != Outcome::kNotRun || !this->may_have_run,
            Invariant::kNotRunDidNotRun);
    Require(!this->stream_started, Invariant::kOneFinalAnswer);
  }
  this->phase = Phase::kEnded;
  this->effects.emplace_back(std::move(effect));
}

}  // namespace lentilhead::online::internal
