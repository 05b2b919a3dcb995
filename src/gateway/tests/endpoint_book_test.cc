#include "gateway/endpoint_book.h"

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

EndpointState& StateOf(const EndpointBook& book, const std::string& id) {
  return *book.All().at(id);
}

TEST_CASE("the least loaded endpoint is chosen, with the load of peers counted") {
  EndpointBook book("a");
  book.Put(Entry("one"));
  book.Put(Entry("two"));
  StateOf(book, "one").own_online = 1;
  book.SetPeerLoad("peer", {{EndpointKey("two"), 2, 1}});
  CHECK(book.Choose(Online(), kStart).endpoint->entry.id == "one");
  book.SetPeerLoad("peer", {});
  CHECK(book.Choose(Online(), kStart).endpoint->entry.id == "two");
}

TEST_CASE("the own zone breaks ties only") {
  EndpointBook book("b");
  book.Put(Entry("far", 4, "a"));
  book.Put(Entry("near", 4, "b"));
  CHECK(book.Choose(Online(), kStart).endpoint->entry.id == "near");
  StateOf(book, "near").own_online = 1;
  CHECK(book.Choose(Online(), kStart).endpoint->entry.id == "far");
}

TEST_CASE("an endpoint that drains or is off the list gets no work") {
  EndpointBook book("a");
  EndpointEntry draining = Entry("one");
  draining.is_draining = true;
  book.Put(draining);
  CHECK(book.Choose(Online(), kStart).reason == NoChoice::kNotListed);
  book.Put(Entry("two"));
  book.Remove("two", kStart);
  CHECK(book.Choose(Online(), kStart).reason == NoChoice::kNotListed);
}

TEST_CASE("an entry that lapsed in an outage is used until its grace ends") {
  EndpointBook book("a");
  book.Put(Entry("one"));
  book.ReplaceAll({}, kStart + milliseconds(2000));
  CHECK(book.Choose(Online(), kStart + milliseconds(1999)).endpoint);
  CHECK_FALSE(book.Choose(Online(), kStart + milliseconds(2000)).endpoint);
  book.Put(Entry("one"));
  CHECK(book.Choose(Online(), kStart + milliseconds(9000)).endpoint);
}

TEST_CASE("batch leaves headroom, and online may queue one request") {
  EndpointBook book("a");
  book.Put(Entry("one", 4));
  StateOf(book, "one").own_online = 3;
  CHECK(book.Choose({"svc", {}, WorkClass::kBatch}, kStart).reason == NoChoice::kAllFull);
  StateOf(book, "one").own_online = 4;
  CHECK(book.Choose(Online(), kStart).endpoint);
  StateOf(book, "one").own_online = 5;
  CHECK(book.Choose(Online(), kStart).reason == NoChoice::kAllFull);
}

TEST_CASE("online work goes to a full endpoint whose batch work ends for it") {
  EndpointBook book("a");
  book.Put(Entry("online", 4));
  book.Put(Entry("batch", 4));
  StateOf(book, "online").own_online = 4;
  book.SetPeerLoad("peer-b", {{EndpointKey("batch"), 1, 3}});
  CHECK(book.Choose(Online(), kStart).endpoint->entry.id == "batch");
  CHECK(book.PeersInTheWay(StateOf(book, "batch"), kStart).empty());
  StateOf(book, "batch").own_online = 3;
  CHECK(book.PeersInTheWay(StateOf(book, "batch"), kStart) == std::vector<std::string>{"peer-b"});
  CHECK(book.Choose(Online({"online"}), kStart).endpoint);
  StateOf(book, "batch").own_online = 4;
  CHECK(book.Choose(Online({"online"}), kStart).reason == NoChoice::kAllFull);
}

TEST_CASE("a suspect endpoint is the last resort of online work and none of batch") {
  EndpointBook book("a");
  book.Put(Entry("one"));
  book.Put(Entry("two"));
  EndpointEvidence::NoteFailure(StateOf(book, "one"), kStart, false);
  StateOf(book, "two").own_online = 3;
  CHECK(book.Choose(Online(), kStart).endpoint->entry.id == "two");
  CHECK(book.Choose(Online({"two"}), kStart).endpoint->entry.id == "one");
  CHECK_FALSE(book.Choose({"svc", {"two"}, WorkClass::kBatch}, kStart).endpoint);
}

TEST_CASE("an endpoint that a peer found out of reach is avoided until it answers here") {
  EndpointBook book("a");
  EndpointBook peer("a");
  for (EndpointBook* each : {&book, &peer}) {
    each->Put(Entry("one"));
    each->Put(Entry("two"));
  }
  EndpointEvidence::NoteFailure(StateOf(peer, "one"), kStart, true);
  EndpointEvidence::NoteFailure(StateOf(peer, "two"), kStart, false);
  CHECK(peer.Unreachable(kStart) == std::vector<std::uint32_t>{EndpointKey("one")});
  book.NotePeerSuspects(peer.Unreachable(kStart), kStart);
  StateOf(book, "two").own_online = 2;
  CHECK(book.Choose(Online(), kStart).endpoint->entry.id == "two");
  EndpointEvidence::NoteAnswer(StateOf(book, "one"), kStart + milliseconds(10));
  CHECK(book.Choose(Online(), kStart + milliseconds(20)).endpoint->entry.id == "one");
}

TEST_CASE("work waits for room rather than go to an endpoint out of reach") {
  EndpointBook book("a");
  book.Put(Entry("one"));
  book.Put(Entry("two"));
  EndpointEvidence::NoteFailure(StateOf(book, "one"), kStart, true);
  StateOf(book, "two").own_online = 5;
  CHECK(book.Choose(Online(), kStart).reason == NoChoice::kAllFull);
  EndpointEvidence::NoteFailure(StateOf(book, "two"), kStart, true);
  CHECK(book.Choose(Online(), kStart).endpoint->entry.id == "one");
}

TEST_CASE("an address that another endpoint has is avoided until the list tells more") {
  EndpointBook book("a");
  book.Put(Entry("one"));
  book.Put(Entry("two"));
  EndpointEvidence::NoteReplaced(StateOf(book, "one"), kStart);
  StateOf(book, "two").own_online = 3;
  CHECK(book.Choose(Online(), kStart + milliseconds(3000)).endpoint->entry.id == "two");
}

TEST_CASE("a slow endpoint gets less work than its free places suggest") {
  EndpointBook book("a");
  for (const char* id : {"one", "two", "slow"}) {
    book.Put(Entry(id, 8));
    EndpointEvidence::NotePace(StateOf(book, id),
                               milliseconds(std::string(id) == "slow" ? 130 : 26));
  }
  StateOf(book, "one").own_online = 3;
  StateOf(book, "two").own_online = 3;
  CHECK(book.Choose(Online(), kStart).endpoint->entry.id != "slow");
}

TEST_CASE("nodes agree on who ends batch work for online work") {
  EndpointBook book("a");
  book.Put(Entry("one", 4));
  StateOf(book, "one").own_batch = 2;
  book.SetPeerLoad("node-z", {{EndpointKey("one"), 2, 1}});
  const int later = book.BatchOfPeersAfter("node-a", EndpointKey("one"));
  CHECK(later == 1);
  CHECK(EndpointBook::BatchToYield(StateOf(book, "one"), later, kStart) == 0);
  book.SetPeerLoad("node-z", {{EndpointKey("one"), 4, 1}});
  CHECK(EndpointBook::BatchToYield(StateOf(book, "one"), later, kStart) == 2);
  CHECK(book.BatchOfPeersAfter("node-zz", EndpointKey("one")) == 0);
}

TEST_CASE("connections rest for less once an endpoint was seen to give them up") {
  EndpointState state;
  CHECK(state.IdleLimit(kStart) == milliseconds::max());
  EndpointEvidence::NoteStaleConnection(state, milliseconds(500), kStart);
  EndpointEvidence::NoteStaleConnection(state, milliseconds(320), kStart);
  EndpointEvidence::NoteStaleConnection(state, milliseconds(400), kStart);
  CHECK(state.IdleLimit(kStart) == milliseconds(160));
  CHECK(state.IdleLimit(kStart + std::chrono::minutes(1)) == milliseconds::max());
}

TEST_CASE("another start under the same id begins without load or suspicion") {
  EndpointBook book("a");
  book.Put(Entry("one"));
  StateOf(book, "one").own_online = 4;
  EndpointEvidence::NoteFailure(StateOf(book, "one"), kStart, false);
  EndpointEntry again = Entry("one");
  again.born_unix_ms = 77;
  book.Put(again);
  CHECK(StateOf(book, "one").own_online == 0);
  CHECK(StateOf(book, "one").suspect_until == net::SteadyTime{});
}

}  // namespace
}  // namespace lentilhead::gateway
