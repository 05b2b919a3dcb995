#include <doctest/doctest.h>

#include <string>

#include "fleet_simulation.h"

namespace lentilhead::fleet::internal {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kInstances = 12;
constexpr seconds kJoinTime{10};
constexpr seconds kDetectionTime{15};
constexpr seconds kSettleTime{60};
constexpr int kSeeds = 24;
constexpr int kSteps = 30;

/// Injects one random fault, restarts an instance, or submits a sheet.
void InjectRandomFault(FleetSimulation& fleet, std::mt19937_64& random) {
  const int index = static_cast<int>(random() % kInstances);
  switch (random() % 8) {
    case 0:
      fleet.Crash(index);
      break;
    case 1:
    case 2:
      fleet.Restart(index);
      break;
    case 3:
      fleet.Pause(index, true);
      break;
    case 4:
      fleet.Split({index, (index + 1) % kInstances, (index + 2) % kInstances});
      break;
    case 5:
      fleet.SetMessageLoss(0.2);
      break;
    case 6:
      fleet.SetStoreDown(random() % 2 == 0);
      break;
    default:
      if (fleet.IsUp(index)) {
        fleet.Submit(index);
      }
  }
}

/// Injects random faults, ends them and waits. @return difference that is left after the wait.
std::string RunRandomly(std::uint64_t seed, InjectedFault fault) {
  std::mt19937_64 random(seed);
  FleetSimulation fleet(kInstances, seed, fault);
  fleet.Run(kJoinTime);
  for (int step = 0; step < kSteps; ++step) {
    InjectRandomFault(fleet, random);
    fleet.Run(milliseconds(random() % 3'000));
  }
  fleet.Split({});
  fleet.SetMessageLoss(0);
  fleet.SetStoreDown(false);
  for (int index = 0; index < kInstances; ++index) {
    fleet.Pause(index, false);
  }
  fleet.Run(kSettleTime);
  CHECK(fleet.MostUpdates() <= MembershipParameters{}.updates_per_message + 1);
  return fleet.FindDifference();
}

}  // namespace

TEST_CASE("instances that start together find each other") {
  FleetSimulation fleet(kInstances, 1);
  fleet.Run(kJoinTime);
  CHECK(fleet.FindDifference().empty());
}

TEST_CASE("a crashed instance is dead in every view and only its work moves") {
  FleetSimulation fleet(kInstances, 2);
  fleet.Run(kJoinTime);
  const FleetView before = fleet.ViewOf(0);
  fleet.Crash(5);
  fleet.Run(kDetectionTime);
  CHECK(fleet.FindDifference().empty());
  const FleetView after = fleet.ViewOf(0);
  for (int key = 0; key < 1'000; ++key) {
    const std::string name = "key-" + std::to_string(key);
    const std::string owner = before.BatchOwnerOf(name);
    CHECK((owner == "instance-5" || owner == after.BatchOwnerOf(name)));
  }
}

TEST_CASE("a short pause moves no work") {
  FleetSimulation fleet(kInstances, 3);
  fleet.Run(kJoinTime);
  fleet.Pause(4, true);
  for (int step = 0; step < 20; ++step) {
    fleet.Run(milliseconds(100));
    CHECK(fleet.ViewOf(0).OwnerNames().size() == kInstances);
  }
  fleet.Pause(4, false);
  fleet.Run(kDetectionTime);
  CHECK(fleet.FindDifference().empty());
}

TEST_CASE("a short loss of a fifth of all messages moves no work") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    FleetSimulation fleet(kInstances, seed);
    fleet.Run(kJoinTime);
    fleet.SetMessageLoss(0.2);
    for (int step = 0; step < 20; ++step) {
      fleet.Run(milliseconds(100));
      CHECK(fleet.ViewOf(0).OwnerNames().size() == kInstances);
    }
    fleet.SetMessageLoss(0);
    fleet.Run(kDetectionTime);
    CHECK(fleet.FindDifference().empty());
  }
}

TEST_CASE("an instance restarted under the same address has a higher incarnation") {
  FleetSimulation fleet(kInstances, 4);
  fleet.Run(kJoinTime);
  const auto before = fleet.ViewOf(0).Find("instance-7")->incarnation;
  fleet.Crash(7);
  fleet.Run(kDetectionTime);
  CHECK(fleet.ViewOf(0).Find("instance-7")->state == InstanceState::kDead);
  fleet.Restart(7);
  fleet.Run(kDetectionTime);
  CHECK(fleet.FindDifference().empty());
  CHECK(fleet.ViewOf(0).Find("instance-7")->incarnation > before);
}

TEST_CASE("both sides of a network partition keep working and merge after it ends") {
  FleetSimulation fleet(kInstances, 5);
  fleet.Run(kJoinTime);
  fleet.Split({0, 1, 2, 3});
  fleet.Run(kSettleTime);
  CHECK(fleet.ViewOf(0).OwnerNames().size() == 4);
  CHECK(fleet.ViewOf(11).OwnerNames().size() == 8);
  fleet.Split({});
  fleet.Run(kDetectionTime);
  CHECK(fleet.FindDifference().empty());
}

TEST_CASE("a new revision reaches every instance while few instances read the store") {
  FleetSimulation fleet(kInstances, 6);
  fleet.Run(kJoinTime);
  const auto reads = fleet.StoreReads();
  fleet.Submit(3);
  fleet.Run(seconds(2));
  CHECK(fleet.FindDifference().empty());
  fleet.Run(seconds(8));
  CHECK(fleet.StoreReads() - reads <= 3 * 20 + 3);
}

TEST_CASE("a new instance fetches the revision from its peers while the store is down") {
  FleetSimulation fleet(kInstances, 7);
  fleet.Run(kJoinTime);
  fleet.Submit(0);
  fleet.Run(seconds(4));
  fleet.SetStoreDown(true);
  fleet.Restart(9);
  fleet.Run(seconds(6));
  CHECK(fleet.RevisionOf(9) == 1);
}

TEST_CASE("all views and revisions converge after random faults") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CHECK(RunRandomly(seed, InjectedFault::kNone) == "");
  }
}

TEST_CASE("the randomised run detects injected faults") {
  for (const InjectedFault fault : {InjectedFault::kNoRefutation, InjectedFault::kNeverFetches,
                                    InjectedFault::kNeverSuspects}) {
    bool noticed = false;
    for (std::uint64_t seed = 1; seed <= kSeeds && !noticed; ++seed) {
      noticed = !RunRandomly(seed, fault).empty();
    }
    CAPTURE(static_cast<int>(fault));
    CHECK(noticed);
  }
}

}  // namespace lentilhead::fleet::internal
