#pragma once

#include <cstdint>
#include <optional>

#include "gateway/internal/event_splitter.h"
#include "gateway/internal/event_verdict.h"

namespace lentilhead::gateway::internal {

/// Decides whether the events of an answer belong to a stream and continue it in order. A stream
/// may be received in several answers, each of which resumes after the last event.
class StreamSequence {
 public:
  /// @param last_event id of the event that the first answer resumes after, if there is one.
  /// @param has_events whether events of the stream were received from earlier answers.
  explicit StreamSequence(std::optional<std::int64_t> last_event = std::nullopt,
                          bool has_events = false)
      : last_event(last_event), has_events(has_events) {}

  /// Begins the next answer.
  void BeginAnswer();

  /// Judges the next event of the answer, and takes it into the stream if it follows.
  [[nodiscard]] EventVerdict Take(const StreamEvent& event);

  /// Id of the last event of the stream.
  [[nodiscard]] std::optional<std::int64_t> LastEvent() const { return this->last_event; }

  /// Id of the first event of the answer, which may be a repeated one.
  [[nodiscard]] std::optional<std::int64_t> FirstOfAnswer() const { return this->first_of_answer; }

  /// Id of the last event of the answer, which may be a repeated one.
  [[nodiscard]] std::optional<std::int64_t> LastOfAnswer() const { return this->last_of_answer; }

  /// Whether the answer added an event to the stream.
  [[nodiscard]] bool HasGrown() const { return this->has_grown; }

  /// Whether the answer repeats events but not the last one of the stream: it is no answer to a
  /// request that resumes the stream there, and its end is not the end of the stream.
  [[nodiscard]] bool IsShort() const {
    return this->last_of_answer && *this->last_of_answer < *this->last_event;
  }

  /// Whether the answer holds a later event that the stream has not reached.
  [[nodiscard]] bool HasLaterEvent() const { return this->has_later_event; }

  /// Whether events were received before the answer began.
  [[nodiscard]] bool IsResumed() const { return this->is_resumed; }

  /// Whether another answer can resume the stream. It would repeat events that have no id.
  [[nodiscard]] bool MayResume() const { return !this->has_unnumbered; }

 private:
  [[nodiscard]] EventVerdict Judge(std::int64_t id) const;
  [[nodiscard]] EventVerdict TakeUnnumbered(bool has_content);
  void Grow();

  std::optional<std::int64_t> last_event;
  bool has_events;
  bool has_unnumbered = false;
  bool is_resumed = false;
  bool has_grown = false;
  bool has_later_event = false;
  std::optional<std::int64_t> first_of_answer;
  std::optional<std::int64_t> last_of_answer;
};

}  // namespace lentilhead::gateway::internal
