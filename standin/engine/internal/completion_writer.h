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

  /// Renders the first event of a stream; empty for text completions.
  [[nodiscard]] std::string FirstEvent() const;

  /// Appends the event of one token. The token must not need JSON escapes.
  void AppendToken(std::string& text, std::string_view token) const;

  /// Renders the last events of a stream, with the token counts if the request includes usage.
  [[nodiscard]] std::string LastEvents() const;

  /// Renders the response to a request that does not stream.
  [[nodiscard]] std::string RenderResponse(std::string_view text) const;

 private:
  [[nodiscard]] const char* FinishReason() const;
  [[nodiscard]] std::string Usage() const;

  const CompletionRequest& request;
  std::string common_members;  ///< JSON members `id`, `created` and `model`.
  std::string chunk_start;     ///< Event of a token up to the token's text.
};

}  // namespace lentilhead::standin
