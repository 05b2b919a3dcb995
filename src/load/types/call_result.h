#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace lentilhead::load {

enum class CallEnd {
  kCompleted,    ///< The total answer to the call's own request.
  kRefused,      ///< A typed error before any byte of an answer.
  kErrorEvent,   ///< A typed error that ended a started answer.
  kCut,          ///< The answer ended without its end mark and without an error.
  kWrong,        ///< Complete, but not the answer to the call's request.
  kUnreachable,  ///< No answer; the connection failed or timed out.
};

/// Name of an end in snake_case.
const char* NameOf(CallEnd end);

/// Outcome of one online call.
struct CallResult {
  CallEnd end = CallEnd::kUnreachable;
  int status = 0;
  std::string code;  ///< Code of the typed error, or kind of the transport failure.
  std::chrono::nanoseconds first_token{0};
  std::chrono::nanoseconds longest_gap{0};
  std::chrono::nanoseconds total{0};
  int tokens = 0;
};

}  // namespace lentilhead::load
