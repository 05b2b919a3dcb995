#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "framework/result.h"
#include "framework/types/time_types.h"

namespace lentilhead::standin {

enum class CompletionKind { kChat, kText };

/// Reason why a completion request is invalid.
struct CompletionError {
  int status = 400;
  std::string code;
  std::string message;
};

/// A parsed request for a completion.
struct CompletionRequest {
  CompletionKind kind = CompletionKind::kChat;
  std::string model;
  std::string prompt;             ///< Rendered messages or prompt; determines the answer.
  std::uint64_t prefix_hash = 0;  ///< Hash of the part that prompts may share.
  int offset = 0;                 ///< Tokens of the answer that the caller already has.
  int tokens = 0;                 ///< Tokens to generate.
  bool ends_naturally = false;    ///< No token limit; the answer ends at its natural length.
  bool streams = false;
  bool includes_usage = false;  ///< The stream ends with a chunk of token counts.
};

/// Parses the JSON body of a completion request.
framework::Reply<CompletionRequest, CompletionError> ParseCompletionRequest(CompletionKind kind,
                                                                            std::string_view body);

}  // namespace lentilhead::standin
