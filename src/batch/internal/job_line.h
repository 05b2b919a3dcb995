#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "batch/types/end_reason.h"
#include "framework/result.h"

namespace lentilhead::batch::internal {

enum class JobLineErrorKind {
  kInvalidJson,
  kMissingCustomId,
  kInvalidCustomId,
  kInvalidMethod,
  kInvalidUrl,
  kInvalidBody,
  kTooLong,
};

/// Returns the snake_case name of a kind, as it appears in the response to the caller.
const char* NameOf(JobLineErrorKind kind);

/// Error in one line of a submission, without the number of the line. @see LineFault
struct JobLineError {
  JobLineErrorKind kind;
  std::string detail;
};

/// One line of a submission, in the OpenAI batch format.
struct JobLine {
  std::string custom_id;
  std::string method;
  std::string url;  ///< Path at the endpoint.
  nlohmann::json body;
};

/// Parses and checks a line.
/// @return the line or a JobLineError.
framework::Result<JobLine> ParseJobLine(std::string_view text);

/// Renders the result line of an item that has an answer. @param body JSON or any other text.
std::string RenderAnswer(const std::string& custom_id, int status, const std::string& body);

/// Renders the result line of an item that ended without an answer.
std::string RenderEnd(const std::string& custom_id, EndReason reason);

}  // namespace lentilhead::batch::internal
