#include "gateway/internal/stream_sequence.h"

namespace lentilhead::gateway::internal {

void StreamSequence::BeginAnswer() {
  this->is_resumed = this->has_events;
  this->has_grown = false;
  this->has_later_event = false;
  this->first_of_answer.reset();
  this->last_of_answer.reset();
}

EventVerdict StreamSequence::Judge(std::int64_t id) const {
  if (this->last_of_answer && id <= *this->last_of_answer) {
    return EventVerdict::kOutOfOrder;
  }
  const std::optional<std::int64_t>& before =
      this->last_of_answer ? this->last_of_answer : this->last_event;
  if (before && id > *before && id - 1 != *before) {
    return EventVerdict::kGap;
  }
  return this->last_event && id <= *this->last_event ? EventVerdict::kRepeated
                                                     : EventVerdict::kNext;
}

void StreamSequence::Grow() {
  this->has_grown = true;
  this->has_events = true;
}

EventVerdict StreamSequence::TakeUnnumbered(bool has_content) {
  if (this->IsShort()) {
    return EventVerdict::kRepeated;
  }
  if (has_content && this->last_event && !this->last_of_answer) {
    return EventVerdict::kNoEvent;  // an endpoint that resumes after an id numbers its events
  }
  if (has_content) {
    this->has_unnumbered = true;
    this->Grow();
  }
  return EventVerdict::kNext;
}

EventVerdict StreamSequence::Take(const StreamEvent& event) {
  if (!event.is_well_formed) {
    return EventVerdict::kNoEvent;
  }
  if (!event.id) {
    return this->TakeUnnumbered(event.has_content);
  }
  const EventVerdict verdict = this->Judge(*event.id);
  if (verdict != EventVerdict::kNext && verdict != EventVerdict::kRepeated) {
    this->has_later_event = this->last_event && *event.id > *this->last_event;
    return verdict;
  }
  if (!this->first_of_answer) {
    this->first_of_answer = event.id;
  }
  this->last_of_answer = event.id;
  if (verdict == EventVerdict::kNext) {
    this->last_event = event.id;
    this->Grow();
  }
  return verdict;
}

}  // namespace lentilhead::gateway::internal
