#pragma once

#include <string_view>

namespace lentilhead::gateway {

/// What marks the end of an answer's body.
enum class AnswerFraming {
  kLength,      ///< the stated length, or there is no body
  kChunks,      ///< the last chunk
  kConnection,  ///< the end of the connection, which is also how a broken answer ends
};

/// Name of a framing in logs and metrics.
[[nodiscard]] inline std::string_view NameOf(AnswerFraming framing) {
  switch (framing) {
    case AnswerFraming::kLength:
      return "length";
    case AnswerFraming::kChunks:
      return "chunks";
    case AnswerFraming::kConnection:
      return "connection";
  }
  return "unknown";
}

}  // namespace lentilhead::gateway
