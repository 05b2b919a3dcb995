#include "gateway/internal/stream_sequence.h"

#include <doctest/doctest.h>

#include <vector>

namespace lentilhead::gateway::internal {
namespace {

StreamEvent EventOf(std::int64_t id) { return {"", id, true, true}; }

StreamEvent UnnumberedEvent() { return {"", std::nullopt, true, true}; }

/// Verdicts on the events of one answer.
std::vector<EventVerdict> TakeAnswer(StreamSequence& sequence,
                                     const std::vector<std::int64_t>& ids) {
  sequence.BeginAnswer();
  std::vector<EventVerdict> verdicts;
  verdicts.reserve(ids.size());
  for (const std::int64_t id : ids) {
    verdicts.push_back(sequence.Take(EventOf(id)));
  }
  return verdicts;
}

using Verdicts = std::vector<EventVerdict>;

TEST_CASE("a stream may begin at any id") {
  for (const std::int64_t first : {0, 1, 7}) {
    StreamSequence sequence;
    CHECK(TakeAnswer(sequence, {first, first + 1}) ==
          Verdicts{EventVerdict::kNext, EventVerdict::kNext});
    CHECK(sequence.LastEvent() == first + 1);
    CHECK(sequence.FirstOfAnswer() == first);
  }
}

TEST_CASE("an answer that skips an id has a gap") {
  StreamSequence sequence;
  CHECK(TakeAnswer(sequence, {1, 2, 4}) ==
        Verdicts{EventVerdict::kNext, EventVerdict::kNext, EventVerdict::kGap});
  CHECK(sequence.LastEvent() == 2);
}

TEST_CASE("an answer whose ids do not grow is out of order") {
  StreamSequence repeats;
  CHECK(TakeAnswer(repeats, {1, 1}) == Verdicts{EventVerdict::kNext, EventVerdict::kOutOfOrder});
  StreamSequence goes_back;
  CHECK(TakeAnswer(goes_back, {1, 2, 3, 1}).back() == EventVerdict::kOutOfOrder);
  CHECK(goes_back.LastEvent() == 3);
}

TEST_CASE("an answer that resumes a stream must not begin behind a gap") {
  StreamSequence sequence(3);
  CHECK(TakeAnswer(sequence, {5}) == Verdicts{EventVerdict::kGap});
  CHECK(TakeAnswer(sequence, {4}) == Verdicts{EventVerdict::kNext});
}

TEST_CASE("an answer that repeats events but not the last one is short") {
  StreamSequence sequence(3);
  CHECK_FALSE(sequence.IsShort());
  TakeAnswer(sequence, {1, 2});
  CHECK(sequence.IsShort());
  TakeAnswer(sequence, {1, 2, 3});
  CHECK_FALSE(sequence.IsShort());
  TakeAnswer(sequence, {});
  CHECK_FALSE(sequence.IsShort());
}

TEST_CASE("an event behind a gap is a later one, an event that goes back is not") {
  StreamSequence sequence(3);
  TakeAnswer(sequence, {5});
  CHECK(sequence.HasLaterEvent());
  TakeAnswer(sequence, {2, 2});
  CHECK_FALSE(sequence.HasLaterEvent());
  TakeAnswer(sequence, {1, 2, 5});
  CHECK(sequence.HasLaterEvent());
}

TEST_CASE("events that a resumed answer repeats at its beginning are told apart") {
  StreamSequence sequence(2);
  CHECK(TakeAnswer(sequence, {1, 2, 3}) ==
        Verdicts{EventVerdict::kRepeated, EventVerdict::kRepeated, EventVerdict::kNext});
  CHECK(sequence.FirstOfAnswer() == 1);
  CHECK(sequence.HasGrown());
}

TEST_CASE("events that a resumed answer repeats must be in order, too") {
  StreamSequence sequence(4);
  CHECK(TakeAnswer(sequence, {1, 3}).back() == EventVerdict::kGap);
  CHECK(TakeAnswer(sequence, {2, 3, 2}).back() == EventVerdict::kOutOfOrder);
}

TEST_CASE("an answer grows a stream by its new events only") {
  StreamSequence sequence;
  sequence.BeginAnswer();
  CHECK_FALSE(sequence.IsResumed());
  CHECK(sequence.Take({": comment\n\n", std::nullopt, false, true}) == EventVerdict::kNext);
  CHECK_FALSE(sequence.HasGrown());
  CHECK(sequence.Take(EventOf(1)) == EventVerdict::kNext);
  CHECK(sequence.HasGrown());
  CHECK(TakeAnswer(sequence, {1}) == Verdicts{EventVerdict::kRepeated});
  CHECK(sequence.IsResumed());
  CHECK_FALSE(sequence.HasGrown());
}

TEST_CASE("a request that states a last event has received none by itself") {
  StreamSequence sequence(5);
  sequence.BeginAnswer();
  CHECK_FALSE(sequence.IsResumed());
  StreamSequence continued(5, true);
  continued.BeginAnswer();
  CHECK(continued.IsResumed());
}

TEST_CASE("bytes that are no event do not continue a stream") {
  StreamSequence sequence(1);
  sequence.BeginAnswer();
  StreamEvent head = EventOf(2);
  head.is_well_formed = false;
  CHECK(sequence.Take(head) == EventVerdict::kNoEvent);
  CHECK(sequence.LastEvent() == 1);
}

TEST_CASE("an answer that resumes a numbered stream does not begin with an event without an id") {
  StreamSequence sequence;
  TakeAnswer(sequence, {1, 2});
  sequence.BeginAnswer();
  CHECK(sequence.Take({": comment\n\n", std::nullopt, false, true}) == EventVerdict::kNext);
  CHECK(sequence.Take(UnnumberedEvent()) == EventVerdict::kNoEvent);
  CHECK(sequence.MayResume());
  CHECK(TakeAnswer(sequence, {3}) == Verdicts{EventVerdict::kNext});
}

TEST_CASE("a stream with events that have no id cannot be resumed") {
  StreamSequence sequence;
  TakeAnswer(sequence, {1, 2});
  CHECK(sequence.MayResume());
  CHECK(sequence.Take(UnnumberedEvent()) == EventVerdict::kNext);
  CHECK_FALSE(sequence.MayResume());
}

TEST_CASE("events without an id among repeated ones are repeated") {
  StreamSequence sequence(3);
  TakeAnswer(sequence, {1, 2});
  CHECK(sequence.Take(UnnumberedEvent()) == EventVerdict::kRepeated);
  CHECK(sequence.MayResume());
}

}  // namespace
}  // namespace lentilhead::gateway::internal
