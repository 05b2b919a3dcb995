#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lentilhead::online::internal {

/// Events of a chat completion stream that were forwarded to the caller.
///
/// The events are kept as bytes and read only if the stream has to be resumed.
class StreamTranscript {
 public:
  /// What the forwarded events say.
  struct Content {
    std::string id;
    std::string text;
    std::size_t text_events = 0;  ///< Events that carried text.
    bool finished = false;        ///< An event gave the reason for the end.
    bool resumable = true;  ///< False if there are tool calls, several choices or unread events.
  };

  void Append(std::string_view events);

  [[nodiscard]] bool Empty() const { return this->size == 0; }

  [[nodiscard]] Content Read() const;

 private:
  std::string events;
  std::size_t size = 0;
};

/// Builds the request that continues a stream after the text of a transcript.
/// @param body request of the caller.
/// @return the request's body, or no value if the stream cannot be continued exactly.
std::optional<std::string> BuildResumeBody(const std::string& body,
                                           const StreamTranscript::Content& content);

/// Gives the events of a resumed stream the identifier of the first one and drops events that only
/// open a message again.
std::string RewriteResumedEvents(std::string_view events, const std::string& id);

}  // namespace lentilhead::online::internal
