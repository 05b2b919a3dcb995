#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

#include "gateway/cancel_scope.h"
#include "gateway/internal/endpoint_connection.h"
#include "gateway/internal/event_verdict.h"
#include "gateway/types/answer_bound.h"
#include "gateway/types/answer_end.h"
#include "gateway/types/answer_framing.h"
#include "gateway/types/attempt_failure.h"
#include "gateway/types/attempt_target.h"
#include "gateway/types/body_progress.h"
#include "gateway/types/connect_outcome.h"
#include "gateway/types/endpoint_answer.h"
#include "gateway/types/open_attempt.h"
#include "net/held_bytes.h"
#include "platform/second_answer_scan.h"

namespace lentilhead::gateway {
struct Gateway;
}  // namespace lentilhead::gateway

namespace lentilhead::gateway::internal {

/// Head of an endpoint's answer, as received and decoded.
struct AnswerHead {
  net::http::response_header<> head;
  EndpointAnswer decoded;
  AnswerFraming framing = AnswerFraming::kLength;
};

/// State of an answer's body after a read.
enum class BodyState {
  kMore,       ///< more may follow
  kEnd,        ///< the body is complete
  kBroken,     ///< the connection was lost
  kTimedOut,   ///< the time limit passed first
  kOverLimit,  ///< the answer exceeds one of AnswerLimits
};

/// Bytes of an answer's body from one read.
struct BodyPiece {
  std::string bytes;
  std::size_t received = 0;  ///< bytes of the answer, with the framing of the body
  BodyState state = BodyState::kMore;
  bool is_followed = false;  ///< at its end, bytes that belong to no answer had arrived behind it
};

/// Limits of an attempt.
struct AttemptLimits {
  net::SteadyTime answer_by;  ///< time by which the head of the answer must be received
  /// The request may be sent again, so a silent attempt may be ended when this node is cut off.
  bool may_repeat = false;
};

/// Sends one request to one endpoint on a connection of its own and reads the answer. Time limits
/// hold and AnswerLimits apply whatever arrives.
class EndpointAttempt {
 public:
  using StartOutcome = std::variant<AnswerHead, AttemptFailure>;

  /// @param endpoint endpoint that the request is sent to.
  /// @param cancel closes the connection when cancelled.
  EndpointAttempt(Gateway& gateway, std::shared_ptr<EndpointState> endpoint, CancelScope& cancel);
  EndpointAttempt(const EndpointAttempt&) = delete;
  EndpointAttempt& operator=(const EndpointAttempt&) = delete;
  ~EndpointAttempt();

  /// Sends the request and reads the head of its answer. Discards answers to other requests.
  /// @param request_id id that the answer must state.
  net::asio::awaitable<StartOutcome> Start(net::Request message, std::string request_id,
                                           AttemptLimits limits);

  /// Peer that the connection of the last attempt led through, if there was one.
  [[nodiscard]] const std::optional<net::asio::ip::address>& Through() const {
    return this->through;
  }

  /// How far the body of the current answer has been received.
  [[nodiscard]] BodyProgress Progress() const;

  /// How the body of the current answer ended; empty before it ended with BodyState::kEnd.
  [[nodiscard]] const std::optional<AnswerEnd>& End() const { return this->end; }

  /// Reads the next part of the body.
  /// @param until time limit of the read.
  net::asio::awaitable<BodyPiece> ReadPiece(net::SteadyTime until);

  /// Reads the rest of the body.
  /// @param most the read ends after this many bytes, with BodyState::kMore if more may follow; the
  ///   memory budget may end it sooner.
  /// @param until time limit of the read.
  net::asio::awaitable<BodyPiece> ReadRest(std::size_t most, net::SteadyTime until);

  /// Reads the rest of an answer that nobody needs, or closes the connection if the rest is long or
  /// slow. Any end of the connection ends a body without framing.
  /// @param until time limit of the read.
  /// @return the state of the body; BodyState::kTimedOut also for a rest that is slow.
  net::asio::awaitable<BodyState> Discard(net::SteadyTime until);

  /// Closes the connection of an answer that exceeds a limit; logs and counts it.
  /// @param amount what was received, in the unit of LimitOf(bound).
  void AbortOverLimit(AnswerBound bound, std::size_t amount);

  /// Closes the connection of a streamed answer that does not continue its stream; logs and counts
  /// it.
  /// @param last id of the last event of the answer before it.
  /// @param found id of the event that does not continue the stream.
  void AbortAtEvent(EventVerdict verdict, std::optional<std::int64_t> last,
                    std::optional<std::int64_t> found);

  /// Ends the read in progress, which then fails.
  void Interrupt();

  /// Closes the connection.
  void Abort();

 private:
  using Parser = net::http::response_parser<net::http::string_body>;

  net::asio::awaitable<ConnectOutcome> Connect(net::SteadyTime until);
  net::asio::awaitable<StartOutcome> ReadHead(bool is_head_request, net::SteadyTime until);
  /// Reads available bytes of the answer. All reads of an answer go through here: an answer whose
  /// bytes are always there would otherwise outlast the stream's own time limit.
  net::asio::awaitable<net::ErrorCode> ReadSome(net::SteadyTime until);
  /// Reads until the parser has the head or refuses it; checks the bytes that it does not check.
  /// @return the error, and the number of bytes that were parsed.
  net::asio::awaitable<std::tuple<net::ErrorCode, std::size_t>> ReadHeadPart();
  /// Logs and counts an answer that must not be used. @param problem of its head.
  void ReportMalformed(std::string_view problem);
  net::asio::awaitable<net::ErrorCode> ReadNextHead(bool is_head_request, net::SteadyTime until);
  [[nodiscard]] AttemptFailure FailureOf(const net::ErrorCode& error);
  /// Whether no byte of an answer was read.
  [[nodiscard]] bool NothingRead(const EndpointConnection& used) const;
  /// Whether a connection was opened directly for this request and lost without any answer.
  [[nodiscard]] bool IsLostAtOnce(const EndpointConnection& used) const;
  /// Reads the rest of an answer to another request. @return the failure, if there is one.
  net::asio::awaitable<std::optional<AttemptFailure>> DiscardAnswer(net::SteadyTime until);
  /// Closes the connection after the parser or the buffer refused the size of what was received.
  void AbortForSize();
  /// Closes the connection after a read of the body failed.
  void AbortAfter(const net::ErrorCode& error);
  void RecordIfLeaving(const EndpointAnswer& answer);
  void RecordLimit(const EndpointAnswer& answer);
  [[nodiscard]] AnswerFraming Framing() const;
  /// Waits for the end of the request's write; logs and counts a request that is not written.
  /// @param until end of the wait. @return whether all of it was written.
  net::asio::awaitable<bool> IsRequestWritten(net::SteadyTime until);
  /// Counts the answers without framing of the endpoint that end at the same moment.
  void RecordUnframedEnd();
  /// Records that the end of the answer is believed. @param sign why.
  void RecordEnd(std::string_view sign);
  /// Logs and counts an answer without framing whose end is not believed.
  /// @param until time limit of the answer.
  void ReportUnprovenEnd(std::string_view cause, net::SteadyTime until);
  /// Logs and counts an answer without framing whose end is believed. @param sign why.
  /// @param until time limit of the answer.
  void ReportBelievedEnd(std::string_view sign, net::SteadyTime until);
  /// Reads the next part of the body without a check of its end.
  net::asio::awaitable<BodyPiece> ReadPart(net::SteadyTime until);
  /// State of a body that was received up to its end. Without framing, the end of a connection that
  /// was reset, or whose endpoint or peer has died, is not that of the answer.
  net::asio::awaitable<BodyState> StateAtEnd(net::SteadyTime until);
  /// Whether a second answer to the request begins in the body, which has been received to its end.
  /// @param until time limit of the answer.
  net::asio::awaitable<bool> EndsInSecondAnswer(net::SteadyTime until);
  /// Logs and counts a body that goes on with a second answer, and closes the connection.
  void AbortAtSecondAnswer();
  /// Adapts the size of the next read to the answer and to the memory budget.
  void SizeBuffer();
  /// Counts the bytes held in the memory budget. @param collected bytes handed on together later.
  void CountHeld(std::size_t collected);
  void Finish();

  Gateway& gateway;
  std::shared_ptr<EndpointState> endpoint;
  CancelScope& cancel;
  std::shared_ptr<EndpointConnection> connection;
  std::unique_ptr<Parser> parser;
  std::optional<platform::SecondAnswerScan> scan;  ///< of the body of the current answer
  net::HeldBytes held;  ///< what was read of the answer and not handed on
  std::string request_id;
  AttemptTarget target;
  std::optional<net::asio::ip::address> through;
  OpenAttempt open;              ///< watched from the time that the request is sent
  bool is_interrupted = false;   ///< this node ended the read in progress
  std::size_t received = 0;      ///< bytes of the current answer
  std::size_t head_bytes = 0;    ///< of these, before the body was read
  net::SteadyTime head_at;       ///< time of the head of the current answer
  std::optional<AnswerEnd> end;  ///< of the current answer
  std::size_t discarded = 0;     ///< bytes of interim heads and of answers to other requests
};

}  // namespace lentilhead::gateway::internal
