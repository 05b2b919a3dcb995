#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace lentilhead::online::internal {

/// Headers of an endpoint's answer that are forwarded to the caller.
using AnswerHeaders = std::vector<std::pair<std::string, std::string>>;

/// No endpoint can take the attempt now.
struct NoEndpoint {
  int attempt;
};

/// Status and headers of an attempt's answer.
struct AnswerHead {
  int attempt;
  int status;
  bool event_stream;
  AnswerHeaders headers;
};

/// Next bytes of an attempt's answer.
struct AnswerData {
  int attempt;
  std::string_view bytes;
};

/// How the connection of an attempt failed.
struct AttemptFailure {
  bool request_started;  ///< False if no byte of the request was written.
  bool timed_out;
};

/// End of an attempt's answer, which is incomplete if there is a failure.
struct AnswerEnd {
  int attempt;
  std::optional<AttemptFailure> failure;
};

/// The backoff delay before the next attempt has elapsed.
struct BackoffElapsed {};

/// The request's deadline passed.
struct DeadlineReached {};

/// The caller closed its connection.
struct CallerDisconnected {};

/// The instance is shutting down and its drain limit has passed.
struct DrainLimitReached {};

using AttemptEvent = std::variant<NoEndpoint, AnswerHead, AnswerData, AnswerEnd, BackoffElapsed,
                                  DeadlineReached, CallerDisconnected, DrainLimitReached>;

}  // namespace lentilhead::online::internal
