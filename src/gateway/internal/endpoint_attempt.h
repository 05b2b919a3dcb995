#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "gateway/cancel_scope.h"
#include "gateway/internal/connection_pool.h"
#include "gateway/types/attempt_failure.h"
#include "gateway/types/endpoint_answer.h"

namespace lentilhead::gateway::internal {

/// Head of the answer to an attempt.
struct AnswerHead {
  net::http::response_header<> head;
  EndpointAnswer decoded;
};

/// What is left of an answer after a piece of its body.
enum class BodyState {
  kMore,      ///< the body goes on
  kEnd,       ///< the body has ended, and is whole
  kBroken,    ///< the endpoint broke off
  kTimedOut,  ///< no byte came in time
};

/// A piece of the body of an answer.
struct BodyPiece {
  std::string bytes;
  BodyState state = BodyState::kMore;
};

/// When an attempt is given up, and on what connection it may go.
struct AttemptLimits {
  net::SteadyTime answer_by;                  ///< the head of the answer must have come
  std::chrono::milliseconds longest_idle{0};  ///< idle time of a connection that may be reused
};

/// One request at one endpoint. Closes its connection unless the answer ends cleanly.
class EndpointAttempt {
 public:
  using StartOutcome = std::variant<AnswerHead, AttemptFailure>;

  /// @param endpoint endpoint that the request is for.
  /// @param cancel closes the connection when nobody waits for the answer any more.
  EndpointAttempt(net::asio::any_io_executor executor, ConnectionPool& pool,
                  std::shared_ptr<EndpointState> endpoint, CancelScope& cancel);
  EndpointAttempt(const EndpointAttempt&) = delete;
  EndpointAttempt& operator=(const EndpointAttempt&) = delete;
  ~EndpointAttempt() { this->Abort(); }

  /// Sends the request and reads the head of its answer. Answers to other requests are passed
  /// over.
  net::asio::awaitable<StartOutcome> Start(net::Request message, std::string request_id,
                                           AttemptLimits limits);

  /// Reads the next piece of the body.
  net::asio::awaitable<BodyPiece> ReadPiece(net::SteadyTime until);

  /// Reads the rest of the body, up to a size.
  net::asio::awaitable<BodyPiece> ReadRest(std::size_t most, net::SteadyTime until);

  /// Closes the connection.
  void Abort();

 private:
  using Parser = net::http::response_parser<net::http::string_body>;

  net::asio::awaitable<bool> Connect(net::SteadyTime until, std::chrono::milliseconds longest_idle);
  net::asio::awaitable<StartOutcome> ReadHead(std::string request_id, bool is_head,
                                              net::SteadyTime until);
  [[nodiscard]] AttemptFailure FailureOf(const net::ErrorCode& error) const;
  net::asio::awaitable<bool> DiscardAnswer(net::SteadyTime until);
  void Finish();

  net::asio::any_io_executor executor;
  ConnectionPool& pool;
  std::shared_ptr<EndpointState> endpoint;
  CancelScope& cancel;
  ConnectionPool::Connection connection;
  std::unique_ptr<Parser> parser;
};

}  // namespace lentilhead::gateway::internal
