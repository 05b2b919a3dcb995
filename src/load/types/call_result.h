#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace lentilhead::load {

enum class CallEnd {
  kCompleted,    ///< The complete answer to the call's own request.
  kRefused,      ///< An error response instead of an answer.
  kErrorEvent,   ///< An error event ended a started answer.
  kCut,          ///< The answer ended early, without an error event.
  kWrong,        ///< A complete answer that is not the expected one.
  kUnreachable,  ///< No response; the connection failed or timed out.
};

/// Returns the name of an end in snake_case.
const char* NameOf(CallEnd end);

/// Outcome of one online call.
struct CallResult {
  CallEnd end = CallEnd::kUnreachable;
  int status = 0;
  std::string code;  ///< Code of the error, or kind of the transport failure.
  std::chrono::nanoseconds first_token{0};  ///< From the start of the call.
  std::chrono::nanoseconds longest_gap{0};  ///< Between two tokens.
  std::chrono::nanoseconds total{0};        ///< Duration of the call.
  int tokens = 0;
};

}  // namespace lentilhead::load
