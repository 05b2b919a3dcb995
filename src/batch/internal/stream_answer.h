#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "batch/types/partial_answer.h"
#include "framework/event_stream_reader.h"

namespace lentilhead::batch::internal {

/// Assembles the chunks of a streamed chat completion into one answer.
class StreamAnswer {
 public:
  /// @param partial answer of earlier attempts that the stream continues.
  explicit StreamAnswer(PartialAnswer partial);

  void Feed(std::string_view bytes);

  /// Returns true after the stream has sent its end marker.
  [[nodiscard]] bool IsComplete() const { return this->complete; }

  /// Returns true if an event contained an error or could not be parsed.
  [[nodiscard]] bool HasError() const { return this->error; }

  /// Answer so far, including that of earlier attempts.
  [[nodiscard]] const PartialAnswer& Partial() const { return this->partial; }

  /// Renders the answer as one chat completion.
  [[nodiscard]] std::string Render() const;

 private:
  void OnEvent(std::string_view data);

  framework::EventStreamReader reader;
  PartialAnswer partial;
  std::int64_t continued_tokens;  ///< Tokens of earlier attempts.
  std::string finish_reason;
  nlohmann::json head;
  nlohmann::json usage;
  bool complete = false;
  bool error = false;
};

}  // namespace lentilhead::batch::internal
