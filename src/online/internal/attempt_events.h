#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace lentilhead::online::internal {

/// Headers of an answer that are passed on.
using AnswerHeaders = std::vector<std::pair<std::string, std::string>>;

/// No endpoint may be sent to now.
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

/// How the connection of an attempt broke.
struct AttemptFailure {
  bool request_started;  ///< False if no byte of the request was written.
  bool timed_out;
};

/// End of an attempt's answer; with a failure, the answer is cut.
struct AnswerEnd {
  int attempt;
  std::optional<AttemptFailure> failure;
};

/// The delay before the next attempt is over.
struct BackoffElapsed {};

/// The request's deadline passed.
struct DeadlineReached {};

/// The caller closed its connection.
struct CallerDisconnected {};

/// The instance must end and waits no longer.
struct DrainLimitReached {};

using AttemptEvent = std::variant<NoEndpoint, AnswerHead, AnswerData, AnswerEnd, BackoffElapsed,
                                  DeadlineReached, CallerDisconnected, DrainLimitReached>;

}  // namespace lentilhead::online::internal
