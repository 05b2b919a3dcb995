#include "gateway/types/answer_end_time.h"

#include <doctest/doctest.h>

#include "net/loop_beats.h"

namespace lentilhead::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPeriod{20};
constexpr milliseconds kMargin{20};
const net::SteadyTime kStart = net::SteadyTime{} + milliseconds(10'000);

/// Beats at a period, the last one at kStart, and then one after a halt.
net::LoopBeats BeatsWithHalt(milliseconds halt) {
  net::LoopBeats beats;
  beats.Record(kStart - kPeriod);
  beats.Record(kStart);
  beats.Record(kStart + halt);
  return beats;
}

AnswerEndTime EndReadAfter(milliseconds halt) {
  const net::SteadyTime read = kStart + halt;
  return {BeatsWithHalt(halt).EarliestArrival(read), read};
}

}  // namespace

// Guards against an endpoint that was started during a halt of the node and counts as the old one.
TEST_CASE("an end that was read after a halt may be older than the process that answers") {
  const AnswerEndTime end = EndReadAfter(milliseconds(300));
  CHECK(end.MayBeStartedBefore(end.read));
}

// Guards against whole answers that are refused while the node is under load.
TEST_CASE("an end that was read in time tells the process apart from a later one") {
  for (const milliseconds pause : {kPeriod, milliseconds(120)}) {
    const AnswerEndTime end = EndReadAfter(pause);
    CHECK_FALSE(end.MayBeStartedBefore(end.read + milliseconds(50)));
    CHECK(end.MayBeStartedBefore(end.read + AnswerEndTime::kShortestStart));
  }
}

// Guards against bytes of a dead endpoint that are read late and taken for a sign of its life.
TEST_CASE("bytes that are read after a halt may be older than an end that was read before it") {
  const AnswerEndTime end{kStart - kPeriod, kStart};
  const milliseconds halt(300);
  CHECK_FALSE(end.IsBefore(BeatsWithHalt(halt).EarliestArrival(kStart + halt), kMargin));
  CHECK(end.IsBefore(kStart + 2 * kPeriod, kMargin));
}

}  // namespace lentilhead::gateway
