#include "online/tests/intent_simulation.h"

#include <doctest/doctest.h>

#include <optional>

namespace lentilhead::online {

namespace {

constexpr int kMaxSteps = 1'000'000;

std::optional<internal::Invariant> ViolationWith(InjectedFault fault) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    IntentSimulation simulation(seed, fault);
    try {
      simulation.Run(kMaxSteps);
    } catch (const internal::InvariantViolation& violation) {
      return violation.invariant;
    }
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("a call that must not run twice runs at most once under random faults") {
  int steps = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    CAPTURE(seed);
    IntentSimulation simulation(seed, InjectedFault::kNone);
    steps += simulation.Run(kMaxSteps);
    CHECK(simulation.unanswered == 0);
    CHECK(simulation.completed > 1'000);
    CHECK(simulation.replayed > 100);
    CHECK(simulation.not_run > 500);
    CHECK(simulation.unknown > 500);
    CHECK(simulation.crashed > 100);
    CHECK(simulation.paused > 100);
  }
  MESSAGE("steps: " << steps);
  CHECK(steps >= 100'000);
}

TEST_CASE("each injected fault violates the expected invariant") {
  CHECK(ViolationWith(InjectedFault::kNone) == std::nullopt);
  CHECK(ViolationWith(InjectedFault::kInsertOverwritesRow) ==
        internal::Invariant::kOneSendPerIntent);
  CHECK(ViolationWith(InjectedFault::kResendsAfterUnknown) ==
        internal::Invariant::kOneSendPerIntent);
  CHECK(ViolationWith(InjectedFault::kRunsRefusedRequest) == internal::Invariant::kNotRunDidNotRun);
  CHECK(ViolationWith(InjectedFault::kReturnsOtherAnswer) == internal::Invariant::kOwnBytesOnly);
  CHECK(ViolationWith(InjectedFault::kRespondsTwice) == internal::Invariant::kOneFinalAnswer);
}

}  // namespace lentilhead::online
