#include "gateway/endpoint_registry.h"

#include <doctest/doctest.h>

namespace lentilhead::gateway {
namespace {

using std::chrono::milliseconds;

const net::SteadyTime kStart = net::SteadyTime{} + std::chrono::hours(1);

EndpointEntry Entry(const std::string& id, int slots = 4, const std::string& zone = "a") {
  EndpointEntry entry;
  entry.id = id;
  entry.service = "svc";
  entry.zone = zone;
  entry.slots = slots;
  return entry;
}

ChoiceRequest Online(std::vector<std::string> excluded = {}) {
  return {"svc", std::move(excluded), WorkClass::kOnline};
}

EndpointState& StateOf(const EndpointRegistry& registry, const std::string& id) {
  return *registry.All().at(id);
}

TEST_CASE("the endpoint with the least load including that of peers is chosen") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  registry.Put(Entry("two"));
  StateOf(registry, "one").own_online = 1;
  registry.SetPeerLoad("peer", {{HashKey("two"), 2, 1}}, kStart);
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "one");
  registry.RemovePeer("peer");
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "two");
}

TEST_CASE("an endpoint of another group that names a limit is left alone") {
  EndpointRegistry registry("a");
  registry.Put(Entry("own"));
  registry.Put(Entry("other"));
  registry.SetGroup({{{"own", 1}}, false});
  StateOf(registry, "own").own_online = 6;
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "other");
  registry.LimitsOfOthers().Merge({{StateOf(registry, "other").incarnation, milliseconds(0)}},
                                  kStart);
  CHECK(registry.Choose(Online(), kStart).reason == NoChoice::kAllFull);
}

TEST_CASE("a choice without enough memory tells how much an endpoint with a free slot has") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  registry.Put(Entry("two"));
  registry.RecordLoad(StateOf(registry, "one"), ReportedLoad{0, 0, 4, 1.0}, kStart);
  placement::RequestCost cost;
  cost.memory_tokens = 340;
  StateOf(registry, "one").work.Begin(cost);
  cost.memory_tokens = 170;
  StateOf(registry, "two").work.Begin(cost);
  ChoiceRequest request{"svc", {}, WorkClass::kBatch};
  request.endpoint_memory = 1000;
  request.cost.memory_tokens = 801;
  const Choice choice = registry.Choose(request, kStart);
  CHECK(choice.reason == NoChoice::kAllFull);
  REQUIRE(choice.free_memory);
  CHECK(*choice.free_memory == doctest::Approx(800));
  request.cost.memory_tokens = 799;
  CHECK(registry.Choose(request, kStart).endpoint->entry.id == "two");
  StateOf(registry, "one").own_batch = 4;
  StateOf(registry, "two").own_batch = 4;
  CHECK_FALSE(registry.Choose(request, kStart).free_memory);
}

// Guards against requests that an endpoint can hold, but that are never sent to one.
TEST_CASE("an endpoint without requests takes one that needs all its memory, and no larger one") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  registry.RecordLoad(StateOf(registry, "one"), ReportedLoad{0, 0, 4, 1.0}, kStart);
  ChoiceRequest request{"svc", {}, WorkClass::kBatch};
  request.endpoint_memory = 1000;
  request.cost.memory_tokens = 1000;
  CHECK(registry.Choose(request, kStart).endpoint);
  request.cost.memory_tokens = 1001;
  const Choice choice = registry.Choose(request, kStart);
  CHECK(choice.reason == NoChoice::kTooLarge);
  CHECK(choice.free_memory == 1000);
}

TEST_CASE("the own zone only breaks ties") {
  EndpointRegistry registry("b");
  registry.Put(Entry("far", 4, "a"));
  registry.Put(Entry("near", 4, "b"));
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "near");
  StateOf(registry, "near").own_online = 1;
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "far");
}

TEST_CASE("a draining or unlisted endpoint is not chosen") {
  EndpointRegistry registry("a");
  EndpointEntry draining = Entry("one");
  draining.is_draining = true;
  registry.Put(draining);
  CHECK(registry.Choose(Online(), kStart).reason == NoChoice::kNoUsable);
  registry.Put(Entry("two"));
  registry.Remove("two", kStart);
  CHECK(registry.Choose(Online(), kStart).reason == NoChoice::kNoUsable);
}

TEST_CASE("an endpoint that says it is leaving is not chosen while its entry says it is ready") {
  for (const WorkClass work : {WorkClass::kOnline, WorkClass::kBatch}) {
    EndpointRegistry registry("a");
    registry.Put(Entry("one"));
    CHECK(EndpointFeedback::RecordLeaving(StateOf(registry, "one"), kStart));
    CHECK_FALSE(EndpointFeedback::RecordLeaving(StateOf(registry, "one"), kStart));
    registry.Put(Entry("one"));
    registry.ReplaceAll({Entry("one")}, kStart);
    EndpointFeedback::RecordAnswer(StateOf(registry, "one"), kStart);
    const ChoiceRequest request{"svc", {}, work};
    CHECK(registry.Choose(request, kStart + std::chrono::hours(1)).reason == NoChoice::kNoUsable);
    registry.Put(Entry("two"));
    CHECK(registry.Choose(request, kStart).endpoint->entry.id == "two");
  }
}

TEST_CASE("the mark of a leaving endpoint ends with its start, not with its heartbeats") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  EndpointFeedback::RecordLeaving(StateOf(registry, "one"), kStart);
  EndpointEntry restarted = Entry("one");
  restarted.started_unix_ms = 5;
  registry.Put(restarted);
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "one");
}

TEST_CASE(
    "a leaving endpoint whose entry lapses in an outage of the store is leaving when it returns") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  EndpointFeedback::RecordLeaving(StateOf(registry, "one"), kStart);
  registry.Remove("one", kStart + milliseconds(2000));
  registry.Prune(kStart + milliseconds(4000));
  registry.Put(Entry("one"));
  CHECK(registry.Choose(Online(), kStart + milliseconds(4000)).reason == NoChoice::kNoUsable);
}

TEST_CASE("an endpoint that was gone for long and is listed anew is used again") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  EndpointFeedback::RecordLeaving(StateOf(registry, "one"), kStart);
  registry.Remove("one", kStart);
  registry.Prune(kStart + std::chrono::seconds(30));
  registry.Put(Entry("one"));
  CHECK(registry.Choose(Online(), kStart + std::chrono::seconds(30)).endpoint != nullptr);
}

TEST_CASE("peers hear for a while of an endpoint that told this node it is leaving") {
  EndpointRegistry registry("a");
  EndpointRegistry peer("a");
  registry.Put(Entry("one"));
  peer.Put(Entry("one"));
  peer.Put(Entry("two"));
  EndpointFeedback::RecordLeaving(StateOf(registry, "one"), kStart);
  const std::vector<std::uint32_t> told = registry.SaidLeaving(kStart + milliseconds(300));
  CHECK(peer.RecordPeerLeaving(told) == std::vector<std::string>{"one"});
  CHECK(peer.RecordPeerLeaving(told).empty());
  CHECK(peer.Choose(Online(), kStart).endpoint->entry.id == "two");
  CHECK(peer.SaidLeaving(kStart).empty());  // or nodes would remind each other for ever
  CHECK(registry.SaidLeaving(kStart + milliseconds(5000)).empty());
}

TEST_CASE("a peer's word of a leaving endpoint does not concern a later start under the same id") {
  EndpointRegistry registry("a");
  EndpointRegistry peer("a");
  registry.Put(Entry("one"));
  EndpointEntry restarted = Entry("one");
  restarted.started_unix_ms = 5;
  peer.Put(restarted);
  EndpointFeedback::RecordLeaving(StateOf(registry, "one"), kStart);
  CHECK(peer.RecordPeerLeaving(registry.SaidLeaving(kStart)).empty());
  CHECK(peer.Choose(Online(), kStart).endpoint != nullptr);
}

TEST_CASE("an entry missing from a new list is used until its grace period ends") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  registry.ReplaceAll({}, kStart + milliseconds(2000));
  CHECK(registry.Choose(Online(), kStart + milliseconds(1999)).endpoint);
  CHECK_FALSE(registry.Choose(Online(), kStart + milliseconds(2000)).endpoint);
  registry.Put(Entry("one"));
  CHECK(registry.Choose(Online(), kStart + milliseconds(9000)).endpoint);
}

TEST_CASE("batch work leaves a slot free and online work may queue one request") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one", 4));
  StateOf(registry, "one").own_online = 3;
  CHECK(registry.Choose({"svc", {}, WorkClass::kBatch}, kStart).reason == NoChoice::kAllFull);
  StateOf(registry, "one").own_online = 4;
  CHECK(registry.Choose(Online(), kStart).endpoint);
  StateOf(registry, "one").own_online = 5;
  CHECK(registry.Choose(Online(), kStart).reason == NoChoice::kAllFull);
}

TEST_CASE("online work goes to a full endpoint whose batch work it preempts") {
  EndpointRegistry registry("a");
  registry.Put(Entry("online", 4));
  registry.Put(Entry("batch", 4));
  StateOf(registry, "online").own_online = 4;
  registry.SetPeerLoad("peer-b", {{HashKey("batch"), 1, 3}}, kStart);
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "batch");
  CHECK(registry.PeersThatMustYield(StateOf(registry, "batch"), kStart).empty());
  StateOf(registry, "batch").own_online = 3;
  CHECK(registry.PeersThatMustYield(StateOf(registry, "batch"), kStart) ==
        std::vector<std::string>{"peer-b"});
  CHECK(registry.Choose(Online({"online"}), kStart).endpoint);
  StateOf(registry, "batch").own_online = 4;
  CHECK(registry.Choose(Online({"online"}), kStart).reason == NoChoice::kAllFull);
}

TEST_CASE("a suspected endpoint is the last choice for online work and not used for batch work") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  registry.Put(Entry("two"));
  EndpointFeedback::RecordFailure(StateOf(registry, "one"), kStart, false);
  StateOf(registry, "two").own_online = 3;
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "two");
  CHECK(registry.Choose(Online({"two"}), kStart).endpoint->entry.id == "one");
  CHECK_FALSE(registry.Choose({"svc", {"two"}, WorkClass::kBatch}, kStart).endpoint);
}

TEST_CASE("an endpoint that a peer found unreachable is avoided until it answers this node") {
  EndpointRegistry registry("a");
  EndpointRegistry peer("a");
  for (EndpointRegistry* each : {&registry, &peer}) {
    each->Put(Entry("one"));
    each->Put(Entry("two"));
  }
  EndpointFeedback::RecordFailure(StateOf(peer, "one"), kStart, true);
  EndpointFeedback::RecordFailure(StateOf(peer, "two"), kStart, false);
  CHECK(peer.Unreachable(kStart) == std::vector<std::uint32_t>{HashKey("one")});
  registry.RecordPeerSuspects(peer.Unreachable(kStart), kStart);
  StateOf(registry, "two").own_online = 2;
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "two");
  EndpointFeedback::RecordAnswer(StateOf(registry, "one"), kStart + milliseconds(10));
  CHECK(registry.Choose(Online(), kStart + milliseconds(20)).endpoint->entry.id == "one");
}

TEST_CASE("work waits for a free slot rather than go to an unreachable endpoint") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  registry.Put(Entry("two"));
  EndpointFeedback::RecordFailure(StateOf(registry, "one"), kStart, true);
  StateOf(registry, "two").own_online = 5;
  CHECK(registry.Choose(Online(), kStart).reason == NoChoice::kAllFull);
  EndpointFeedback::RecordFailure(StateOf(registry, "two"), kStart, true);
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "one");
}

TEST_CASE("an endpoint whose address another endpoint has taken is avoided") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  registry.Put(Entry("two"));
  EndpointFeedback::RecordReplacement(StateOf(registry, "one"), kStart);
  StateOf(registry, "two").own_online = 3;
  CHECK(registry.Choose(Online(), kStart + milliseconds(3000)).endpoint->entry.id == "two");
}

TEST_CASE("a slow endpoint gets less work than its free slots suggest") {
  EndpointRegistry registry("a");
  for (const char* id : {"one", "two", "slow"}) {
    registry.Put(Entry(id, 8));
    EndpointFeedback::RecordUnitLatency(StateOf(registry, id),
                                        milliseconds(std::string(id) == "slow" ? 130 : 26));
  }
  StateOf(registry, "one").own_online = 3;
  StateOf(registry, "two").own_online = 3;
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id != "slow");
}

TEST_CASE("nodes agree on which of them yields batch work to online work") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one", 4));
  StateOf(registry, "one").own_batch = 2;
  registry.SetPeerLoad("node-z", {{HashKey("one"), 2, 1}}, kStart);
  const int later = registry.BatchYieldingBefore("node-a", HashKey("one"));
  CHECK(later == 1);
  CHECK(EndpointRegistry::BatchToYield(StateOf(registry, "one"), later, kStart) == 0);
  registry.SetPeerLoad("node-z", {{HashKey("one"), 4, 1}}, kStart);
  CHECK(EndpointRegistry::BatchToYield(StateOf(registry, "one"), later, kStart) == 2);
  CHECK(registry.BatchYieldingBefore("node-zz", HashKey("one")) == 0);
}

TEST_CASE("no suspected endpoint takes over from a silent one") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  ChoiceRequest request = Online();
  request.only_healthy = true;
  CHECK(registry.Choose(request, kStart).endpoint->entry.id == "one");
  EndpointFeedback::RecordFailure(StateOf(registry, "one"), kStart, false);
  CHECK(registry.Choose(request, kStart).endpoint == nullptr);
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "one");
}

TEST_CASE("a restarted endpoint with the same id has no load and is not suspected") {
  EndpointRegistry registry("a");
  registry.Put(Entry("one"));
  StateOf(registry, "one").own_online = 4;
  EndpointFeedback::RecordFailure(StateOf(registry, "one"), kStart, false);
  EndpointEntry restarted = Entry("one");
  restarted.started_unix_ms = 77;
  registry.Put(restarted);
  CHECK(StateOf(registry, "one").own_online == 0);
  CHECK(StateOf(registry, "one").suspect_until == net::SteadyTime{});
}

TEST_CASE("endpoints outside the group get online requests only while the group has no slot") {
  EndpointRegistry registry("a");
  registry.Put(Entry("mine", 1));
  registry.Put(Entry("other", 1));
  registry.SetGroup({{{"mine", 1}}, false});
  StateOf(registry, "mine").own_online = 1;
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "mine");
  StateOf(registry, "mine").own_online = 2;
  CHECK(registry.Choose(Online(), kStart).endpoint->entry.id == "other");
  CHECK_FALSE(registry.Choose({"svc", {}, WorkClass::kBatch}, kStart).endpoint);
  EndpointFeedback::RecordFull(StateOf(registry, "other"), kStart);
  CHECK(registry.Choose(Online(), kStart).reason == NoChoice::kAllFull);
  CHECK(registry.Choose(Online(), kStart + std::chrono::seconds(1)).endpoint->entry.id == "other");
}

TEST_CASE("an endpoint that joins a fleet of several groups is not used before it is assigned") {
  EndpointRegistry registry("a");
  registry.Put(Entry("mine"));
  registry.SetGroup({{{"mine", 1}}, false});
  const std::uint64_t version = registry.ListVersion();
  registry.Put(Entry("new"));
  CHECK(registry.ListVersion() > version);
  CHECK_FALSE(StateOf(registry, "new").in_group);
}

}  // namespace
}  // namespace lentilhead::gateway
