#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "online/internal/intent_events.h"
#include "online/internal/intent_record.h"

namespace lentilhead::online::internal {

/// Times and sizes of at-most-once records.
struct IntentPolicy {
  std::chrono::milliseconds send_bound{5'000};   ///< Between the claim and the send.
  std::chrono::milliseconds run_bound{600'000};  ///< A pending record older than this is lost.
  std::chrono::milliseconds retention{86'400'000};
  std::size_t max_body_bytes = 24 << 10;
};

/// Decides one call that must not run twice: claims an intent, allows one send, records the
/// outcome, and answers resends from the record.
///
/// The caller gets exactly one final effect (RespondAnswer or RespondRefusal).
class IntentMachine {
 public:
  /// Now on both clocks.
  struct Times {
    framework::MonotonicTime monotonic;
    framework::WallTime wall;
  };

  /// @param owner identifier that no other request has.
  /// @param digest SHA-256 of the call's content.
  IntentMachine(IntentPolicy policy, IntentRowKey row_key, std::string owner, std::string digest);

  IntentEffects Start(Times now);
  IntentEffects Handle(const IntentEvent& event, Times now);

  /// True once the caller has its answer and nothing is left to be recorded.
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
  void AnswerFrom(const IntentRecord& record, const std::string& etag);
  void AnswerFromPending(const IntentRecord& record);
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
  nlohmann::json stored_value = nlohmann::json::object();  ///< Row as it was last seen.
  framework::MonotonicTime claimed_at;
  std::optional<IntentEffect> pending_answer;
  int claims = 0;
  bool sent = false;
  bool responded = false;
};

}  // namespace lentilhead::online::internal
