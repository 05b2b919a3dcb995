#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "framework/result.h"
#include "framework/types/time_types.h"

namespace lentilhead::standin {

enum class CompletionKind { kChat, kText };

/// Reason why a completion request is refused.
struct CompletionError {
  int status = 400;
  std::string code;
  std::string message;
};

/// A parsed request for a completion.
struct CompletionRequest {
  CompletionKind kind = CompletionKind::kChat;
  std::string model;
  std::string prompt;             ///< Everything that determines the answer.
  std::uint64_t prefix_hash = 0;  ///< Hash of the part of the prompt that others may share.
  int offset = 0;                 ///< Tokens that the caller has already.
  int tokens = 0;                 ///< Tokens to generate.
  bool ends_naturally = false;    ///< The answer ends by itself, not at the limit of the request.
  bool streams = false;
  bool includes_usage = false;  ///< Asks for a last chunk with the token counts.
};

/// Parses the JSON body of a completion request.
framework::Reply<CompletionRequest, CompletionError> ParseCompletionRequest(CompletionKind kind,
                                                                            std::string_view body);

}  // namespace lentilhead::standin
