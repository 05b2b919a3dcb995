#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lentilhead::online::internal {

/// Events of a chat completion stream that were forwarded to the caller.
///
/// The events are stored as bytes and parsed only if the stream has to be resumed.
class StreamTranscript {
 public:
  /// Content of the forwarded events.
  struct Content {
    std::string id;
    std::string text;
    std::size_t text_events = 0;  ///< Events with text, counted as one token each.
    bool finished = false;        ///< An event had a finish reason.
    /// False after tool calls, several choices, unreadable events or too many bytes.
    bool resumable = true;
  };

  void Append(std::string_view events);

  [[nodiscard]] bool Empty() const { return this->size == 0; }

  [[nodiscard]] Content Read() const;

 private:
  std::string events;
  std::size_t size = 0;
};

/// Builds the request that continues a stream after the text of a transcript.
/// @param body body of the caller's request.
/// @return the request's body, or no value if the stream cannot be continued exactly.
std::optional<std::string> BuildResumeBody(const std::string& body,
                                           const StreamTranscript::Content& content);

/// Gives the events of a resumed stream the id of the first stream and drops events that only
/// repeat the role at the start of the message.
std::string RewriteResumedEvents(std::string_view events, const std::string& id);

}  // namespace lentilhead::online::internal
