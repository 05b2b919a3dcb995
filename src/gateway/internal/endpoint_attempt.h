#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "gateway/cancel_scope.h"
#include "gateway/internal/connection_pool.h"
#include "gateway/types/answer_framing.h"
#include "gateway/types/attempt_failure.h"
#include "gateway/types/endpoint_answer.h"

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
  kMore,      ///< more may follow
  kEnd,       ///< the body is complete
  kBroken,    ///< the connection was lost
  kTimedOut,  ///< the time limit passed first
};

/// Bytes of an answer's body from one read.
struct BodyPiece {
  std::string bytes;
  BodyState state = BodyState::kMore;
};

/// Limits of an attempt.
struct AttemptLimits {
  net::SteadyTime answer_by;  ///< time by which the head of the answer must be received
  /// Longest idle time of a connection to reuse; 0 opens a new connection.
  std::chrono::milliseconds longest_idle{0};
};

/// Sends one request to one endpoint and reads the answer. Returns the connection to the pool after
/// a complete answer, otherwise closes it.
class EndpointAttempt {
 public:
  using StartOutcome = std::variant<AnswerHead, AttemptFailure>;

  /// @param endpoint endpoint that the request is sent to.
  /// @param cancel closes the connection when cancelled.
  EndpointAttempt(Gateway& gateway, std::shared_ptr<EndpointState> endpoint, CancelScope& cancel);
  EndpointAttempt(const EndpointAttempt&) = delete;
  EndpointAttempt& operator=(const EndpointAttempt&) = delete;
  ~EndpointAttempt() { this->Abort(); }

  /// Sends the request and reads the head of its answer. Discards answers to other requests.
  /// @param request_id id that the answer must state.
  net::asio::awaitable<StartOutcome> Start(net::Request message, std::string request_id,
                                           AttemptLimits limits);

  /// Reads the next part of the body.
  /// @param until time limit of the read.
  net::asio::awaitable<BodyPiece> ReadPiece(net::SteadyTime until);

  /// Reads the rest of the body.
  /// @param most the read ends after this many bytes, with BodyState::kMore if more may follow.
  /// @param until time limit of the read.
  net::asio::awaitable<BodyPiece> ReadRest(std::size_t most, net::SteadyTime until);

  /// Ends the read in progress, which then fails.
  void Interrupt();

  /// Closes the connection.
  void Abort();

 private:
  using Parser = net::http::response_parser<net::http::string_body>;

  net::asio::awaitable<bool> Connect(net::SteadyTime until, std::chrono::milliseconds longest_idle);
  net::asio::awaitable<StartOutcome> ReadHead(std::string request_id, bool is_head_request,
                                              net::SteadyTime until);
  [[nodiscard]] AttemptFailure FailureOf(const net::ErrorCode& error) const;
  net::asio::awaitable<bool> DiscardAnswer(net::SteadyTime until);
  void RecordIfLeaving(const EndpointAnswer& answer);
  [[nodiscard]] AnswerFraming Framing() const;
  void Finish();

  Gateway& gateway;
  std::shared_ptr<EndpointState> endpoint;
  CancelScope& cancel;
  ConnectionPool::Connection connection;
  std::unique_ptr<Parser> parser;
};

}  // namespace lentilhead::gateway::internal
