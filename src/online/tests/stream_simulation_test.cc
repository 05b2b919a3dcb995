#include "online/tests/stream_simulation.h"

#include <doctest/doctest.h>

#include <optional>

#include "online/internal/invariant.h"

namespace lentilhead::online {

namespace {

constexpr std::uint64_t kStreams = 1'000;

std::optional<internal::Invariant> ViolationWith(InjectedStreamFault fault) {
  for (std::uint64_t seed = 1; seed <= kStreams; ++seed) {
    StreamSimulation simulation(seed, fault);
    try {
      simulation.Run();
    } catch (const internal::InvariantViolation& violation) {
      return violation.invariant;
    }
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("every stream is whole or ends in a typed error under random faults") {
  int steps = 0;
  int finished = 0;
  int failed = 0;
  int resumed = 0;
  for (std::uint64_t seed = 1; seed <= kStreams; ++seed) {
    CAPTURE(seed);
    StreamSimulation simulation(seed, InjectedStreamFault::kNone);
    steps += simulation.Run();
    CHECK(static_cast<int>(simulation.finished) + static_cast<int>(simulation.failed) +
              static_cast<int>(simulation.disconnected) ==
          1);
    finished += simulation.finished ? 1 : 0;
    failed += simulation.failed ? 1 : 0;
    resumed += simulation.resumed;
  }
  MESSAGE("steps: " << steps << " finished: " << finished << " failed: " << failed
                    << " resumed: " << resumed);
  CHECK(steps >= 50'000);
  CHECK(finished > 700);
  CHECK(failed > 0);
  CHECK(resumed > 300);
}

TEST_CASE("each injected stream fault violates the expected invariant") {
  CHECK(ViolationWith(InjectedStreamFault::kNone) == std::nullopt);
  CHECK(ViolationWith(InjectedStreamFault::kLateBytesAsCurrent) ==
        internal::Invariant::kOwnBytesOnly);
  CHECK(ViolationWith(InjectedStreamFault::kWrongResumeOffset) ==
        internal::Invariant::kOwnBytesOnly);
  CHECK(ViolationWith(InjectedStreamFault::kRunsRefusedRequest) ==
        internal::Invariant::kNotRunDidNotRun);
}

}  // namespace lentilhead::online
