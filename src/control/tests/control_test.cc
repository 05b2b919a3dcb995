#include <doctest/doctest.h>

#include <string>

#include "control_simulation.h"

namespace lentilhead::control::internal {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kControllers = 3;
constexpr int kEndpoints = 6;
constexpr int kSeeds = 20;
constexpr int kSteps = 25;
constexpr seconds kRolloutTime{180};

struct Outcome {
  bool two_leaders = false;
  bool stale_order = false;
  int serving_newest = 0;
};

/// Applies random pauses, table outages, lost answers and new sheets, then runs without faults.
Outcome RunWithRandomFaults(std::uint64_t seed, InjectedFault fault) {
  std::mt19937_64 random(seed);
  ControlSimulation simulation(kControllers, kEndpoints, seed, fault);
  simulation.SetSheet("1", kEndpoints);
  simulation.Run(seconds(10));
  int version = 1;
  for (int step = 0; step < kSteps; ++step) {
    switch (random() % 5) {
      case 0:
        simulation.SetSheet(std::to_string(++version), kEndpoints);
        break;
      case 1:
      case 2:
        simulation.Pause(static_cast<int>(random() % kControllers),
                         milliseconds(random() % 15'000));
        break;
      case 3:
        simulation.SetTableDown(random() % 3 == 0);
        break;
      default:
        simulation.SetAnswerLoss(random() % 2 == 0 ? 0.2 : 0);
    }
    simulation.Run(milliseconds(random() % 6'000));
  }
  simulation.SetTableDown(false);
  simulation.SetAnswerLoss(0);
  simulation.SetSheet(std::to_string(++version), kEndpoints);
  simulation.Run(kRolloutTime);
  return {simulation.HadTwoLeaders(), simulation.HadStaleOrder(),
          simulation.CountServing(std::to_string(version))};
}

}  // namespace

TEST_CASE("a new version reaches every endpoint while at most one is out of use") {
  ControlSimulation simulation(kControllers, kEndpoints, 1);
  simulation.SetSheet("1", kEndpoints);
  simulation.Run(seconds(20));
  simulation.SetSheet("2", kEndpoints);
  simulation.ResetMinInUse();
  simulation.Run(kRolloutTime);
  CHECK(simulation.CountServing("2") == kEndpoints);
  CHECK(simulation.MinInUse() == kEndpoints - 1);
}

TEST_CASE("a roll-out keeps the required capacity if there are spare endpoints") {
  ControlSimulation simulation(kControllers, kEndpoints, 2);
  simulation.SetSheet("2", kEndpoints - 2);
  simulation.Run(kRolloutTime);
  CHECK(simulation.CountServing("2") == kEndpoints - 2);
  CHECK(simulation.MinInUse() >= kEndpoints - 2);
}

TEST_CASE("a roll-out halts at the first endpoint where the version fails") {
  ControlSimulation simulation(kControllers, kEndpoints, 3);
  for (FakeEndpoint& endpoint : simulation.Endpoints()) {
    endpoint.failing_version = "2";
  }
  simulation.SetSheet("2", kEndpoints);
  simulation.Run(kRolloutTime);
  CHECK(simulation.CountHalts() == 1);
  CHECK(simulation.CountServing("1") == kEndpoints - 1);
  CHECK(simulation.CountServing("2") == 0);
  simulation.SetSheet("3", kEndpoints);
  simulation.Run(kRolloutTime);
  CHECK(simulation.CountServing("3") == kEndpoints);
}

TEST_CASE("an endpoint withheld for a failed version is used again after a new sheet") {
  ControlSimulation simulation(1, kEndpoints, 4);
  for (FakeEndpoint& endpoint : simulation.Endpoints()) {
    endpoint.failing_version = "2";
  }
  simulation.SetSheet("2", kEndpoints);
  simulation.Run(kRolloutTime);
  for (FakeEndpoint& endpoint : simulation.Endpoints()) {
    endpoint.failing_version = "";
  }
  simulation.SetSheet("2", kEndpoints);
  simulation.Run(kRolloutTime);
  CHECK(simulation.CountServing("2") == kEndpoints);
}

TEST_CASE("an endpoint is withheld if the version of a sheet submitted during its step fails") {
  ControlSimulation simulation(1, kEndpoints, 5);
  for (FakeEndpoint& endpoint : simulation.Endpoints()) {
    endpoint.failing_version = "3";
  }
  simulation.SetSheet("2", kEndpoints);
  for (int tick = 0; tick < 1'000 && simulation.CountInUse() == kEndpoints; ++tick) {
    simulation.Run(milliseconds(250));
  }
  simulation.SetSheet("3", kEndpoints);
  simulation.Run(kRolloutTime);
  CHECK(simulation.CountHalts() == 1);
  CHECK(simulation.CountServing("3") == 0);
  CHECK(simulation.CountInUse() == kEndpoints - 1);
}

TEST_CASE("a leader whose sheet is older than that of an earlier leader sends no orders") {
  Reconciler reconciler{ReconcilerParameters{}};
  RolloutRecord record;
  record.sheet_revision = 7;
  reconciler.Start(record);
  auto old_sheet = std::make_shared<sheet::AcceptedSheet>();
  old_sheet->revision = 6;
  reconciler.SetSheet(old_sheet);
  reconciler.SetEndpoints({{"endpoint-0", "profiles", "", "a", true}});
  CHECK(reconciler.OnTick(std::chrono::minutes(0), {}).empty());
}

TEST_CASE("random faults lead neither to two leaders nor to endpoints left at an older version") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    const Outcome outcome = RunWithRandomFaults(seed, InjectedFault::kNone);
    CHECK_FALSE(outcome.two_leaders);
    CHECK_FALSE(outcome.stale_order);
    CHECK(outcome.serving_newest == kEndpoints);
  }
}

TEST_CASE("the random simulation detects injected faults") {
  for (const InjectedFault fault :
       {InjectedFault::kNoLeaseWait, InjectedFault::kNoMargin, InjectedFault::kFalseReadBack}) {
    bool detected = false;
    for (std::uint64_t seed = 1; seed <= kSeeds && !detected; ++seed) {
      const Outcome outcome = RunWithRandomFaults(seed, fault);
      detected = outcome.two_leaders || outcome.stale_order || outcome.serving_newest != kEndpoints;
    }
    CAPTURE(static_cast<int>(fault));
    CHECK(detected);
  }
}

}  // namespace lentilhead::control::internal
