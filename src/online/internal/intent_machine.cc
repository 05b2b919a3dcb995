#include "online/internal/intent_machine.h"

#include <glib.h>

#include <utility>

#include "online/internal/invariant.h"

namespace lentilhead::online::internal {

namespace {

using datastore::TableErrorKind;

constexpr int kMaxClaimAttempts = 4;
constexpr std::chrono::milliseconds kRetryAfter{1'000};

/// Checks whether a text can be stored in a row, which is JSON and holds only UTF-8.
bool IsUtf8(const std::string& text) {
  return g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr) != FALSE;
}

}  // namespace

struct IntentMachine::Visitor {
  IntentMachine& machine;

  void operator()(const RowWritten& event) const { this->machine.OnRowWritten(event); }
  void operator()(const RowNotWritten& event) const { this->machine.OnRowNotWritten(event); }
  void operator()(const RowRead& event) const { this->machine.OnRowRead(event); }
  void operator()(const RowNotRead& event) const { this->machine.OnRowNotRead(event); }
  void operator()(const RunAnswered& event) const { this->machine.OnRunAnswered(event); }
  void operator()(const RunRefused& event) const { this->machine.OnRunRefused(event); }
  void operator()(const RecordWaitElapsed& /*event*/) const { this->machine.OnRecordWaitElapsed(); }
};

IntentMachine::IntentMachine(IntentPolicy policy, IntentRowKey row_key, std::string owner,
                             std::string digest)
    : policy(policy),
      row_key(std::move(row_key)),
      owner(std::move(owner)),
      digest(std::move(digest)) {}

IntentEffects IntentMachine::Start(Times time) {
  this->now = time;
  this->Claim(1, "");
  return std::exchange(this->effects, {});
}

IntentEffects IntentMachine::Handle(const IntentEvent& event, Times time) {
  this->now = time;
  std::visit(Visitor{*this}, event);
  return std::exchange(this->effects, {});
}

void IntentMachine::Claim(int run, const std::string& replaced_etag) {
  this->claims += 1;
  if (this->claims > kMaxClaimAttempts) {
    this->Refuse(RefusalReason::kTableUnavailable, Outcome::kNotRun, true);
    return;
  }
  this->phase = Phase::kClaiming;
  this->claimed_at = this->now.monotonic;
  this->record = IntentRecord();
  this->record.digest = this->digest;
  this->record.owner = this->owner;
  this->record.run = run;
  this->record.created_at = this->now.wall;
  this->record.expires_at = this->now.wall + this->policy.retention;
  this->etag = replaced_etag;
  if (replaced_etag.empty()) {
    this->stored_value = nlohmann::json::object();
  }
  this->WriteRecord(false);
}

void IntentMachine::WriteRecord(bool outcome) {
  // ResolvedWriter adds properties to the rows, which each new version must carry over.
  nlohmann::json value = this->stored_value;
  RemoveAnswer(value);
  value.update(ToJson(this->record));
  this->effects.emplace_back(WriteRow{
      {this->row_key.partition, this->row_key.key, this->etag, std::move(value)}, outcome});
}

void IntentMachine::OnRowWritten(const RowWritten& event) {
  this->etag = event.row.etag;
  this->stored_value = event.row.value;
  if (this->phase == Phase::kClaiming) {
    this->OnClaimed();
    return;
  }
  if (this->phase == Phase::kRecording) {
    this->OnRecorded(true);
    return;
  }
  if (this->phase == Phase::kResolvingClaim) {
    this->phase = Phase::kEnded;
  }
}

void IntentMachine::OnClaimed() {
  // After a long pause of the process, other requests may already regard the record as expired or
  // its outcome as unknown, so the call must not be sent any more.
  const bool too_late = this->now.monotonic - this->claimed_at > this->policy.send_bound ||
                        this->now.wall >= this->record.created_at + this->policy.run_bound;
  if (too_late) {
    this->pending_answer =
        RespondRefusal{{RefusalReason::kSendBoundExceeded, Outcome::kNotRun, kRetryAfter}};
    this->Record(IntentState::kNotRun);
    return;
  }
  Require(!this->sent, Invariant::kOneSendPerIntent);
  this->sent = true;
  this->phase = Phase::kRunning;
  this->effects.emplace_back(SendCall{});
}

void IntentMachine::OnRowNotWritten(const RowNotWritten& event) {
  if (this->phase == Phase::kClaiming) {
    this->OnClaimFailed(event.kind);
    return;
  }
  if (this->phase == Phase::kRecording) {
    this->OnRecorded(false);
    return;
  }
  if (this->phase == Phase::kResolvingClaim) {
    this->phase = Phase::kEnded;
  }
}

void IntentMachine::OnClaimFailed(TableErrorKind kind) {
  if (kind == TableErrorKind::kConflict || kind == TableErrorKind::kNotFound) {
    this->Read();
    return;
  }
  this->Refuse(RefusalReason::kTableUnavailable, Outcome::kNotRun, true);
  if (kind == TableErrorKind::kOutcomeUnknown) {
    // The claim may have been stored although nothing was sent. Reading the row back shows whether
    // it must be released, so that a resend can run.
    this->phase = Phase::kResolvingClaim;
    this->effects.emplace_back(ReadRow{this->row_key.partition, this->row_key.key});
  }
}

void IntentMachine::Read() {
  this->phase = Phase::kReading;
  this->effects.emplace_back(ReadRow{this->row_key.partition, this->row_key.key});
}

void IntentMachine::OnRowRead(const RowRead& event) {
  if (this->phase == Phase::kResolvingClaim) {
    this->ResolveClaim(event.row);
    return;
  }
  if (this->phase != Phase::kReading) {
    return;
  }
  this->stored_value = event.row.value;
  const auto stored = ReadIntent(event.row.value);
  if (!stored) {
    this->Refuse(RefusalReason::kOutcomeUnknown, Outcome::kUnknown, false);
    return;
  }
  this->AnswerFromRecord(*stored, event.row.etag);
}

void IntentMachine::OnRowNotRead(const RowNotRead& event) {
  if (this->phase == Phase::kResolvingClaim) {
    this->phase = Phase::kEnded;
    return;
  }
  if (this->phase != Phase::kReading) {
    return;
  }
  if (event.kind == TableErrorKind::kNotFound) {
    this->Claim(1, "");
    return;
  }
  // The record exists but cannot be read, so an earlier call with the key may have run.
  this->Refuse(RefusalReason::kOutcomeUnknown, Outcome::kUnknown, true);
}

void IntentMachine::AnswerFromRecord(const IntentRecord& stored, const std::string& stored_etag) {
  if (stored.expires_at <= this->now.wall) {
    this->Claim(1, stored_etag);
    return;
  }
  if (stored.digest != this->digest) {
    this->Refuse(RefusalReason::kIdempotencyKeyReused, Outcome::kNotRun, false);
    return;
  }
  switch (stored.state) {
    case IntentState::kNotRun:
      this->Claim(stored.run + 1, stored_etag);
      return;
    case IntentState::kPending:
      this->AnswerFromPendingRecord(stored);
      return;
    case IntentState::kUnknown:
      this->Refuse(RefusalReason::kOutcomeUnknown, Outcome::kUnknown, false);
      return;
    case IntentState::kCompleted:
      break;
  }
  if (!stored.body_kept) {
    this->Refuse(RefusalReason::kAnswerNotKept, Outcome::kCompleted, false);
    return;
  }
  this->phase = Phase::kEnded;
  this->Respond(RespondAnswer{{stored.status, stored.headers, stored.body}, true});
}

void IntentMachine::AnswerFromPendingRecord(const IntentRecord& stored) {
  if (this->now.wall < stored.created_at + this->policy.run_bound) {
    this->Refuse(RefusalReason::kInProgress, Outcome::kUnknown, true);
    return;
  }
  this->Refuse(RefusalReason::kOutcomeUnknown, Outcome::kUnknown, false);
}

void IntentMachine::ResolveClaim(const datastore::TableRow& row) {
  const auto stored = ReadIntent(row.value);
  const bool own = stored && stored->state == IntentState::kPending && stored->owner == this->owner;
  if (!own || this->sent) {
    this->phase = Phase::kEnded;
    return;
  }
  this->record = *stored;
  this->record.state = IntentState::kNotRun;
  this->etag = row.etag;
  this->stored_value = row.value;
  this->WriteRecord(true);
}

void IntentMachine::OnRunAnswered(const RunAnswered& event) {
  if (this->phase != Phase::kRunning) {
    return;
  }
  this->record.status = event.answer.status;
  this->record.headers = event.answer.headers;
  this->record.body_kept =
      event.answer.body.size() <= this->policy.max_body_bytes && IsUtf8(event.answer.body);
  this->record.body = this->record.body_kept ? event.answer.body : "";
  this->pending_answer = RespondAnswer{event.answer, false};
  this->Record(IntentState::kCompleted);
}

void IntentMachine::OnRunRefused(const RunRefused& event) {
  if (this->phase != Phase::kRunning) {
    return;
  }
  if (event.refusal.outcome == Outcome::kNotRun) {
    this->pending_answer = RespondRefusal{event.refusal};
    this->Record(IntentState::kNotRun);
    return;
  }
  this->Respond(RespondRefusal{event.refusal});
  this->Record(IntentState::kUnknown);
}

void IntentMachine::Record(IntentState state) {
  this->phase = Phase::kRecording;
  this->record.state = state;
  this->WriteRecord(true);
}

void IntentMachine::OnRecorded(bool recorded) {
  this->phase = Phase::kEnded;
  if (this->responded) {
    return;
  }
  const bool answered = std::holds_alternative<RespondAnswer>(*this->pending_answer);
  if (answered || recorded) {
    this->Respond(*std::move(this->pending_answer));
    return;
  }
  // Recording `not_run` failed. The pending record refuses a resend, so the caller must not be
  // answered with `not_run`.
  this->Refuse(RefusalReason::kOutcomeUnknown, Outcome::kUnknown, false);
}

void IntentMachine::OnRecordWaitElapsed() {
  if (this->phase != Phase::kRecording || this->responded) {
    return;
  }
  if (std::holds_alternative<RespondAnswer>(*this->pending_answer)) {
    this->Respond(*this->pending_answer);
    return;
  }
  this->Respond(RespondRefusal{{RefusalReason::kOutcomeUnknown, Outcome::kUnknown, std::nullopt}});
}

void IntentMachine::Respond(IntentEffect effect) {
  Require(!this->responded, Invariant::kOneFinalAnswer);
  this->responded = true;
  this->effects.emplace_back(std::move(effect));
}

void IntentMachine::Refuse(RefusalReason reason, Outcome outcome, bool retry_later) {
  this->phase = Phase::kEnded;
  const auto retry_after =
      retry_later ? std::optional<std::chrono::milliseconds>(kRetryAfter) : std::nullopt;
  this->Respond(RespondRefusal{{reason, outcome, retry_after}});
}

}  // namespace lentilhead::online::internal
