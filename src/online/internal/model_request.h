#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "online/types/refusal.h"

namespace lentilhead::online::internal {

/// A chat completion or completion request with the fields that the online module uses.
struct ModelRequest {
  nlohmann::json body;
  std::string model;
  bool stream = false;
  bool resumable = false;  ///< A chat of one choice, without tools, logprobs and stream options.
  double cost = 1;         ///< Estimated tokens of prompt and answer.
  std::uint64_t prefix_hash = 0;  ///< Hash of the start of the prompt, for routing.
};

/// Parses and validates the body of a request.
/// @param chat true for chat completions, false for completions.
/// @return the request, or kInvalidJson or kInvalidRequest.
std::variant<ModelRequest, RefusalReason> ParseModelRequest(std::string_view body, bool chat);

}  // namespace lentilhead::online::internal
