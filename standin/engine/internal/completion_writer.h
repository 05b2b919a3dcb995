#pragma once

#include <string>
#include <string_view>

#include "standin/engine/internal/completion_request.h"

namespace lentilhead::standin {

/// Renders the answer to one completion request as OpenAI-style JSON.
class CompletionWriter {
 public:
  /// @param id identifier of the completion.
  CompletionWriter(const CompletionRequest& request, const std::string& id);

  /// First event of a stream; empty for text completions.
  [[nodiscard]] std::string FirstEvent() const;

  /// Appends the event of one token. The token needs no JSON escapes.
  void AppendToken(std::string& text, std::string_view token) const;

  /// Last events of a stream, with the counts if the request asked for them.
  [[nodiscard]] std::string LastEvents() const;

  /// Whole answer of a request that does not stream.
  [[nodiscard]] std::string RenderResponse(std::string_view text) const;

 private:
  [[nodiscard]] const char* FinishReason() const;
  [[nodiscard]] std::string Usage() const;

  const CompletionRequest& request;
  std::string common_members;  ///< Members before `choices`, without the object's type.
  std::string chunk_start;     ///< Event up to the token's text.
};

}  // namespace lentilhead::standin
