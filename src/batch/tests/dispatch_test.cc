#include <doctest/doctest.h>

#include "batch/internal/invariant.h"
#include "batch/tests/dispatch_simulation.h"

namespace lentilhead::batch::internal {

namespace {

constexpr int kFaultSteps = 3'000;
constexpr int kSeeds = 80;

/// Records the violations that the invariants of the batch module report.
class ViolationRecorder {
 public:
  ViolationRecorder()
      : previous(OnViolation([this](const char* name) { this->seen.insert(name); })) {}
  ~ViolationRecorder() { OnViolation(this->previous); }

  std::set<std::string> seen;

 private:
  ViolationHandler previous;
};

}  // namespace

TEST_CASE("with crashes, pauses, lost answers and two owners every item ends once") {
  const ViolationRecorder recorder;
  int steps = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    DispatchSimulation simulation(seed, InjectedFault::kNone, false);
    simulation.Run(kFaultSteps);
    steps += simulation.Steps();
    CHECK(simulation.violations == std::set<std::string>());
    REQUIRE(simulation.IsOver());
    const JobRecord& row = simulation.Row();
    CHECK(row.state == JobState::kFinished);
    CHECK(row.succeeded + row.failed == row.items);
    CHECK(row.failed >= 2);
    CHECK(simulation.CommittedItems() == row.items);
  }
  CHECK(recorder.seen == std::set<std::string>());
  CHECK(steps >= 100'000);
}

TEST_CASE("after a cancel no result is committed") {
  const ViolationRecorder recorder;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    DispatchSimulation simulation(seed, InjectedFault::kNone, true);
    simulation.Run(kFaultSteps);
    CHECK(simulation.violations == std::set<std::string>());
    CHECK(simulation.IsOver());
  }
  CHECK(recorder.seen == std::set<std::string>());
}

TEST_CASE("each injected fault is detected by its check") {
  const ViolationRecorder recorder;
  std::set<std::string> seen;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const InjectedFault fault : {InjectedFault::kIgnoreEtag, InjectedFault::kCommitAfterCancel,
                                      InjectedFault::kNoGrantWait, InjectedFault::kIgnoreGrant}) {
      DispatchSimulation simulation(seed, fault, fault == InjectedFault::kCommitAfterCancel);
      simulation.Run(kFaultSteps);
      seen.insert(simulation.violations.begin(), simulation.violations.end());
    }
  }
  CHECK(seen.contains("one committed result per item"));
  CHECK(seen.contains("no result after a cancel"));
  CHECK(seen.contains("one owner sends to an endpoint"));
  CHECK(seen.contains("batch in flight never above the grant"));
}

TEST_CASE("an illegal write of a job's row violates an invariant") {
  JobRecord before;
  before.items = 4;
  before.done = ItemBitmap(4);
  before.epoch = 3;
  before.done.Set(1);
  before.succeeded = 1;
  before.commits = {{3, 1}};
  const auto violations = [&](const JobRecord& base, LedgerWrite write) {
    const ViolationRecorder recorder;
    AddResults(write);
    RequireLegalWrite(base, write);
    return recorder.seen;
  };
  const LedgerWrite good{before, "1", {{0, ResultKind::kSucceeded, "line", {}}}, 0};
  CHECK(violations(before, good).empty());
  LedgerWrite again = good;
  again.ended[0].item = 1;
  CHECK(violations(before, again).contains("an item is committed once"));
  JobRecord cancelled = before;
  cancelled.state = JobState::kCancelled;
  CHECK(violations(cancelled, good).contains("an ended job is not written"));
  LedgerWrite other = good;
  other.record.epoch = 4;
  CHECK(violations(before, other).contains("an owner writes in its own epoch"));
  LedgerWrite early = good;
  early.record.state = JobState::kFinished;
  CHECK(violations(before, early).contains("a finished job has a result for every item"));
}

}  // namespace lentilhead::batch::internal
