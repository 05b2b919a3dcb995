#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "framework/backoff.h"
#include "online/internal/attempt_effects.h"
#include "online/internal/attempt_events.h"
#include "online/internal/attempt_policy.h"
#include "online/internal/retry_budget.h"
#include "online/internal/sse_scanner.h"
#include "online/internal/stream_transcript.h"

namespace lentilhead::online::internal {

/// State machine of one admitted request: decides its attempts, retries, resumption, outcome and
/// final answer.
///
/// It emits exactly one final effect (FinishStream, FailStream, WholeAnswer or Refuse), or none if
/// the caller disconnects first.
class AttemptMachine {
 public:
  /// @param budget retry budget of the worker; must outlive this object.
  /// @param body body of the caller's request, from which a resumed attempt is built.
  /// @param seed seed of the backoff's jitter.
  AttemptMachine(AttemptPolicy policy, RetryBudget& budget, std::string body, std::uint64_t seed);

  AttemptEffects Start(framework::MonotonicTime now);
  AttemptEffects Handle(const AttemptEvent& event, framework::MonotonicTime now);

  [[nodiscard]] bool Ended() const { return this->phase == Phase::kEnded; }

  /// True once the stream to the caller has been started.
  [[nodiscard]] bool Answering() const { return this->stream_started; }

  /// kUnknown once an endpoint may have run the request, kNotRun before.
  [[nodiscard]] Outcome CurrentOutcome() const;

 private:
  enum class Phase { kIdle, kAttempt, kBackoff, kEnded };
  struct Visitor;

  void OnNoEndpoint(const NoEndpoint& event);
  void OnHead(const AnswerHead& event);
  void OnData(const AnswerData& event);
  void OnStreamData(std::string_view bytes);
  void OnEnd(const AnswerEnd& event);
  void OnWholeAnswer();
  void OnBackoffElapsed();
  void Abort(RefusalReason reason);
  void OnCallerDisconnected();

  void BeginAttempt();
  void Forward(std::string events);
  void FailAttempt(RetryReason reason, endpoint::AttemptEnd end);
  [[nodiscard]] bool MayRetry(RetryReason reason, std::string* resume_body);
  [[nodiscard]] bool PrepareResume(std::string* resume_body);
  void GiveUp(RetryReason reason);
  void End(AttemptEffect effect);
  [[nodiscard]] bool IsCurrent(int number) const;

  AttemptPolicy policy;
  RetryBudget& budget;
  std::string body;
  framework::Backoff backoff;
  framework::MonotonicTime now;
  AttemptEffects effects;
  Phase phase = Phase::kIdle;
  int attempt = 0;
  int status = 0;
  AnswerHeaders headers;
  bool streaming = false;
  bool first_byte_seen = false;
  bool stream_started = false;
  bool may_have_run = false;
  std::string answer;
  std::string resume_body;
  std::string stream_id;
  int resumed_attempt = 0;
  SseScanner scanner;
  StreamTranscript transcript;
};

}  // namespace lentilhead::online::internal
