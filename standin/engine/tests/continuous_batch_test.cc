#include "standin/engine/continuous_batch.h"

#include <doctest/doctest.h>

#include <vector>

namespace lentilhead::standin {

namespace {

using framework::MonotonicTime;
using std::chrono::milliseconds;

MonotonicTime At(int time_ms) { return MonotonicTime(milliseconds(time_ms)); }

BatchTiming Timing(int slots) {
  return {.slots = slots, .token_interval = milliseconds(10), .prefill = milliseconds(50)};
}

std::vector<std::uint64_t> AdmittedIds(const std::vector<GenerationEvent>& events) {
  std::vector<std::uint64_t> ids;
  for (const GenerationEvent& event : events) {
    if (event.kind == GenerationEventKind::kAdmitted) {
      ids.push_back(event.id);
    }
  }
  return ids;
}

}  // namespace

TEST_CASE("requests are admitted in arrival order and only into free slots") {
  ContinuousBatch batch(Timing(2));
  for (std::uint64_t id = 1; id <= 5; ++id) {
    batch.Submit({.id = id, .tokens = 2}, At(0));
  }
  CHECK(batch.Running() == 2);
  CHECK(batch.Waiting() == 3);
  CHECK(AdmittedIds(batch.AdvanceTo(At(0))) == std::vector<std::uint64_t>{1, 2});
  CHECK(AdmittedIds(batch.AdvanceTo(At(59))).empty());
  CHECK(AdmittedIds(batch.AdvanceTo(At(60))) == std::vector<std::uint64_t>{3, 4});
  batch.Cancel(3, At(61));
  CHECK(AdmittedIds(batch.AdvanceTo(At(61))) == std::vector<std::uint64_t>{5});
}

TEST_CASE("a cached prefix shortens the prefill until it is evicted") {
  BatchTiming timing = Timing(1);
  timing.cache_prefixes = 1;
  ContinuousBatch batch(timing);
  const auto first_token_after = [&](std::uint64_t id, std::uint64_t prefix, int start_ms) {
    batch.Submit({.id = id, .prefix_hash = prefix, .tokens = 1}, At(start_ms));
    const auto due = batch.AdvanceTo(At(start_ms + 1'000)).at(1).time;
    return std::chrono::duration_cast<milliseconds>(due - At(start_ms));
  };
  CHECK(first_token_after(1, 7, 0) == milliseconds(50));
  CHECK(first_token_after(2, 7, 2'000) == milliseconds(10));
  CHECK(first_token_after(3, 8, 4'000) == milliseconds(50));
  CHECK(first_token_after(4, 7, 6'000) == milliseconds(50));
}

TEST_CASE("a request that hangs keeps its slot until it is cancelled") {
  ContinuousBatch batch(Timing(1));
  batch.Submit({.id = 1, .hangs = true}, At(0));
  batch.Submit({.id = 2}, At(0));
  CHECK(AdmittedIds(batch.AdvanceTo(At(100'000))) == std::vector<std::uint64_t>{1});
  batch.Cancel(1, At(100'001));
  CHECK(AdmittedIds(batch.AdvanceTo(At(100'001))) == std::vector<std::uint64_t>{2});
}

}  // namespace lentilhead::standin
