#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "online/internal/intent_events.h"
#include "online/internal/intent_record.h"

namespace lentilhead::online::internal {

/// Time and size limits of at-most-once records.
struct IntentPolicy {
  std::chrono::milliseconds send_bound{5'000};  ///< Longest time from claim to send.
  /// Age from which the outcome of a pending record counts as unknown.
  std::chrono::milliseconds run_bound{600'000};
  std::chrono::milliseconds retention{86'400'000};  ///< Lifetime of a record.
  std::size_t max_body_bytes = 24 << 10;            ///< A longer body is not stored.
};

/// State machine of one call that must run at most once: claims an intent, sends the call once,
/// records the outcome, and answers resends from the record.
///
/// It emits exactly one answer (RespondAnswer or RespondRefusal); a write of the record may follow.
class IntentMachine {
 public:
  /// Current time of both clocks.
  struct Times {
    framework::MonotonicTime monotonic;
    framework::WallTime wall;
  };

  /// @param owner unique identifier of this request.
  /// @param digest SHA-256 of the call's content.
  IntentMachine(IntentPolicy policy, IntentRowKey row_key, std::string owner, std::string digest);

  IntentEffects Start(Times now);
  IntentEffects Handle(const IntentEvent& event, Times now);

  /// True once the caller has its answer and nothing remains to be recorded.
  [[nodiscard]] bool Ended() const { return this->phase == Phase::kEnded; }
  [[nodiscard]] bool HasSent() const { return this->sent; }

 private:
  enum class Phase { kIdle, kClaiming, kReading, kRunning, kRecording, kResolvingClaim, kEnded };
  struct Visitor;

  void OnRowWritten(const RowWritten& event);
  void OnRowNotWritten(const RowNotWritten& event);
  void OnRowRead(const RowRead& event);
  void OnRowNotRead(const RowNotRead& event);
  void OnRunAnswered(const RunAnswered& event);
  void OnRunRefused(const RunRefused& event);
  void OnRecordWaitElapsed();

  void Claim(int run, const std::string& etag);
  void WriteRecord(bool outcome);
  void OnClaimed();
  void OnClaimFailed(datastore::TableErrorKind kind);
  void OnRecorded(bool recorded);
  void AnswerFromRecord(const IntentRecord& record, const std::string& etag);
  void AnswerFromPendingRecord(const IntentRecord& record);
  void ResolveClaim(const datastore::TableRow& row);
  void Record(IntentState state);
  void Read();
  void Respond(IntentEffect effect);
  void Refuse(RefusalReason reason, Outcome outcome, bool retry_later);

  IntentPolicy policy;
  IntentRowKey row_key;
  std::string owner;
  std::string digest;
  Times now{};
  IntentEffects effects;
  Phase phase = Phase::kIdle;
  IntentRecord record;
  std::string etag;
  /// Value of the row as last read or written.
  nlohmann::json stored_value = nlohmann::json::object();
  framework::MonotonicTime claimed_at;
  std::optional<IntentEffect> pending_answer;
  int claims = 0;
  bool sent = false;
  bool responded = false;
};

}  // namespace lentilhead::online::internal
