#pragma once

#include <optional>
#include <string>
#include <vector>

#include "gateway/attempt_policy.h"
#include "gateway/caller_session.h"
#include "gateway/gateway.h"
#include "gateway/internal/answer_stream.h"
#include "gateway/internal/endpoint_attempt.h"
#include "gateway/internal/event_splitter.h"
#include "gateway/internal/silence_watch.h"
#include "gateway/internal/stream_sequence.h"
#include "gateway/internal/work_meter.h"
#include "gateway/types/attempt_stage.h"
#include "gateway/types/end_claims.h"
#include "gateway/types/endpoint_fate.h"
#include "gateway/types/routed_request.h"
#include "net/log_line.h"

namespace lentilhead::gateway::internal {

/// Serves one online request: waits for a free slot, tries endpoints and forwards the answer.
class OnlineRun {
 public:
  OnlineRun(Gateway& gateway, CallerSession& session, CancelScope& cancel, RoutedRequest routed);

  /// Runs until the caller has the final answer or has disconnected.
  net::asio::awaitable<void> Run();

  /// Whether an endpoint may have begun to run the request.
  [[nodiscard]] bool MayHaveRun() const { return this->HasBegun(); }

 private:
  enum class Step {
    kDone,         ///< the caller has the final answer or has disconnected
    kRetry,        ///< another attempt follows
    kUnconfirmed,  ///< no other endpoint can confirm the end of an answer
    kCancelled,    ///< the request was cancelled before its final answer
  };

  /// Answers up to this size are received completely before any byte is forwarded, so that a
  /// failure can still lead to a retry. Most answers are far smaller.
  static constexpr std::size_t kMaxBufferedAnswerBytes = 256 << 10;
  static constexpr std::string_view kSilentStreamCause = "stream_silent";
  static constexpr std::string_view kStreamCutCause = "stream_cut";
  static constexpr std::string_view kBodyCutCause = "body_cut";
  static constexpr std::string_view kResumeRefusedCause = "resume_refused";
  static constexpr std::string_view kUnsignedCause = "unsigned";
  static constexpr std::string_view kEncodedCause = "encoded";
  static constexpr std::string_view kForeignBytesCause = "foreign_bytes";
  static constexpr std::string_view kMisplacedEventCause = "misplaced_event";
  static constexpr std::string_view kEndUnconfirmedCause = "end_unconfirmed";
  static constexpr std::string_view kConfirmedEnd = "confirmed";
  static constexpr std::string_view kVaryingEnd = "varying";
  /// Longest wait for a slot at an endpoint that is to confirm the end of an answer.
  static constexpr std::chrono::milliseconds kConfirmationWait{200};
  /// Bounds the runs of a request whose answers keep contradicting each other.
  static constexpr int kMaxTimesAskedAgain = 2;
  /// Time in which a second endpoint confirms an answer, if it takes no longer to run. It is
  /// shorter than the 2 s after which callers drop a silent stream.
  static constexpr std::chrono::milliseconds kLongestConfirmation{1800};
  /// Until a request that has begun is sent again after every endpoint refused or failed.
  static constexpr std::chrono::milliseconds kRepeatPause{100};
  /// Between checks whether a suspicion has ended.
  static constexpr std::chrono::milliseconds kSuspicionCheckPeriod{20};

  net::asio::awaitable<AdmissionOutcome> AcquireSlot();
  /// How long and with which rank the request waits for a slot.
  [[nodiscard]] WaitTerms MakeTerms() const;
  net::asio::awaitable<Step> TryEndpoint(EndpointLease lease);
  /// Cause for which an answer fails the attempt whatever its body is.
  /// @return no value if the answer may be passed on.
  [[nodiscard]] std::optional<std::string_view> CauseToReject(const AnswerHead& answer) const;
  net::asio::awaitable<Step> HandleAnswer(EndpointAttempt& attempt, const EndpointLease& lease,
                                          AnswerHead answer);
  net::asio::awaitable<Step> ForwardWholeAnswer(EndpointAttempt& attempt,
                                                const EndpointLease& lease, AnswerHead answer);
  net::asio::awaitable<Step> ForwardLargeAnswer(EndpointAttempt& attempt,
                                                const EndpointLease& lease, AnswerHead answer,
                                                std::string first_bytes);
  net::asio::awaitable<Step> ForwardStream(EndpointAttempt& attempt, const EndpointLease& lease,
                                           AnswerHead answer);
  net::asio::awaitable<bool> ForwardEvents(std::vector<StreamEvent> events,
                                           const AnswerHead& answer);
  net::asio::awaitable<bool> BeginStream(const AnswerHead& answer);
  net::asio::awaitable<Step> EndStream(const AnswerHead& answer);
  /// Ends a stream that the caller has begun to receive.
  /// @param is_open whether the caller has not left. @param status_code of the answer, for the log.
  net::asio::awaitable<Step> EndBegunStream(bool is_open, int status_code);
  /// Ends the stream if two endpoints claim that it has ended; else resumes it.
  /// @param state in which the last answer left the stream.
  net::asio::awaitable<Step> AfterEndClaim(const EndpointLease& lease, const AnswerHead& answer,
                                           StreamState state);
  /// Whether an answer that left the stream in `state` claims that the stream has ended.
  [[nodiscard]] bool IsEndClaim(StreamState state) const;
  /// Whether another endpoint is to confirm that a body is whole.
  [[nodiscard]] bool NeedsConfirmation(const AnswerHead& answer, const BodyPiece& body) const;
  /// Sends the caller an answer of the last endpoint.
  net::asio::awaitable<Step> DeliverWholeAnswer(net::Response response);
  /// Whether an answer without framing has ended and no second one has confirmed its end.
  [[nodiscard]] bool HasUnconfirmedEnd() const {
    return this->stream_begun ? this->end_claims.IsClaimedWithoutFraming()
                              : this->unconfirmed.has_value();
  }
  /// Time limit of an attempt: the request's, or an earlier one if it only confirms an answer.
  [[nodiscard]] net::SteadyTime AttemptLimit() const;
  /// Records that the last endpoint claims the end of an answer, which is to be confirmed.
  void NoteClaim();
  /// Whether another run of the request may end before its deadline.
  [[nodiscard]] bool HasTimeToConfirm() const;
  /// Passes on the longer one of two bodies of content that varies from run to run.
  net::asio::awaitable<Step> DeliverLonger(net::Response response);
  /// Passes a body without framing on if it confirms the one before, or is confirmed by it.
  net::asio::awaitable<Step> ConfirmBody(const EndpointLease& lease, net::Response response);
  /// Lets the endpoint that claimed the end confirm it by another answer: an end that was caused by
  /// a fault seldom comes twice at the same byte.
  net::asio::awaitable<Step> AskAgain();
  /// Ends a request whose answer may be a part: by an error, or by cutting its stream.
  net::asio::awaitable<void> EndUnconfirmed();
  /// Cause of a failed attempt whose stream is in `state`.
  [[nodiscard]] static std::string_view StreamCauseOf(StreamState state, bool was_silent);
  /// Whether the connection to an endpoint was lost before the whole answer was received.
  [[nodiscard]] static bool IsConnectionLoss(std::string_view cause);
  /// Finds out whether the endpoint ended before it sent the first event or a whole answer, and
  /// records it as evidence on the request and the parts of its prompt.
  net::asio::awaitable<EndpointFate> RecordLoss(const EndpointLease& lease, std::string_view cause);
  net::asio::awaitable<Step> AfterFailure(const EndpointLease& lease, std::string_view cause);
  /// Whether the connection of the last attempt, rather than the endpoint, may have failed.
  [[nodiscard]] bool IsPathSuspected(const EndpointLease& lease) const;
  /// Refuses the request, or lets it wait if it has begun: no endpoint can be reached.
  net::asio::awaitable<Step> AfterNoPath();
  net::asio::awaitable<Step> AfterNotExecuted(const EndpointLease& lease, AnswerHead answer,
                                              EndpointAttempt& attempt);
  /// Keys by which the request may match evidence.
  const PromptKeys& Keys();
  /// Keys of the request, with that of the request as a whole.
  const PromptKeys& AllKeys();
  /// Records that an endpoint answered. @param is_success whether the parts of the prompt are
  /// answered, too.
  void RecordAnswer(bool is_success);
  /// Waits while another request with the same content is suspected to end endpoints.
  net::asio::awaitable<void> AwaitSuspicion();
  /// Whether the request may be sent, by the evidence on it and on the parts of its prompt.
  [[nodiscard]] PartVerdict Verdict();
  net::asio::awaitable<void> RefuseHeld(PartHeld held);
  /// Refuses the request because all endpoints are full.
  net::asio::awaitable<void> RefuseFull(const AdmissionOutcome& outcome);
  net::asio::awaitable<void> Refuse(std::string_view reason);
  net::asio::awaitable<void> Refuse(std::string_view reason, std::chrono::milliseconds wait);
  net::asio::awaitable<void> Fail(net::http::status status, std::string_view reason);
  net::asio::awaitable<void> EndAtDeadline();
  net::asio::awaitable<void> EndCancelled();

  net::asio::awaitable<void> Pause(std::chrono::milliseconds span);

  [[nodiscard]] bool MayRetry() const;
  /// Whether the caller can no longer be told that the request has not run.
  [[nodiscard]] bool HasBegun() const { return this->stream_begun || this->record.maybe_run; }
  /// Leaves the silent endpoint for another one that can take the request, if there is one.
  [[nodiscard]] bool LeaveSilentEndpoint();
  [[nodiscard]] net::SteadyTime WriteLimit() const;
  /// Key of the customer in shares; 0 for none.
  [[nodiscard]] std::uint32_t CustomerKey() const {
    return this->routed.customer == nullptr ? 0 : this->routed.customer->key;
  }
  /// Asks for an endpoint that has not been tried.
  [[nodiscard]] ChoiceRequest MakeChoice();
  void Count(const char* outcome, std::string_view reason);
  void CountAdmission(std::string_view decision);
  void LogAttempt(const EndpointState& endpoint, net::SteadyTime now);
  /// Whether the end of the last answer rests on something other than what the answer itself
  /// states.
  [[nodiscard]] bool IsEndDoubtful() const {
    return this->end &&
           (!this->end->is_framed || this->end->behind > 0 || !this->confirmation.empty());
  }
  /// What the end of the last answer rests on.
  [[nodiscard]] std::string_view SignOfEnd() const {
    return this->confirmation.empty() ? this->end->sign : this->confirmation;
  }
  /// Adds how the last answer ended.
  void AddEnd(net::LogLine& line) const;
  void LogOutcome(std::string_view outcome, std::string_view reason, int status);

  Gateway& gateway;
  CallerSession& session;
  CancelScope& cancel;
  RoutedRequest routed;
  WorkMeter work;
  AttemptRecord record;
  std::vector<std::string> tried;
  std::string last_endpoint;
  EndpointAttempt* attempt = nullptr;              ///< in progress
  EndpointState* endpoint = nullptr;               ///< of that attempt
  bool silence_recorded = false;                   ///< for that attempt
  AttemptStage stage = AttemptStage::kUnanswered;  ///< of the last attempt
  EndpointLease next;  ///< slot at the endpoint that takes over from a silent one
  SilenceWatch silence;
  bool stream_begun = false;
  std::chrono::milliseconds retry_pause{0};  ///< before the next attempt
  bool may_send_again = true;                ///< as far as lost endpoints tell
  std::optional<PartKey> held_part;          ///< because of which the request is refused
  std::optional<AnswerFraming> framing;      ///< of the last answer
  std::optional<AnswerEnd> end;              ///< of the last answer
  std::string_view confirmation;             ///< how a second answer confirmed that end
  std::size_t unfinished_bytes = 0;          ///< of a streamed one, after its last complete event
  StreamSequence sequence;
  EndClaims end_claims;
  net::SteadyTime confirm_until;  ///< time limit of attempts that confirm an answer
  /// Answer without framing that no other endpoint has confirmed yet.
  std::optional<net::Response> unconfirmed;
  std::string claimer;            ///< endpoint that sent the answer whose end is not confirmed
  bool is_claimer_asked = false;  ///< to confirm that end itself
  int times_asked_again = 0;
  bool has_varied = false;            ///< two answers had different content
  bool was_confirmation_cut = false;  ///< an answer that was to confirm an end was shorter
  net::SteadyTime first_event;
  net::SteadyTime attempt_start;  ///< of the last attempt
};

}  // namespace lentilhead::gateway::internal
