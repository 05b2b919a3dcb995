#include "datastore/object_store_client.h"

#include <doctest/doctest.h>

#include "datastore/instance_list_client.h"
#include "standin/platform/platform_fixture.h"

namespace lentilhead::datastore {

namespace {

using framework::Done;
using framework::Reply;
using standin::FaultTarget;
using standin::PlatformFixture;
using BodyReply = Reply<std::string, ObjectError>;
using DoneReply = Reply<Done, ObjectError>;
using ListReply = Reply<std::vector<ListedInstance>, ListError>;

struct ObjectFixture : PlatformFixture {
  ObjectStoreClient client{settings, http, metrics};

  DoneReply Put(const std::string& key, const std::string& body) {
    return Await<DoneReply>([&](auto handler) { this->client.Put(key, body, handler); });
  }
  BodyReply Get(const std::string& key) {
    return Await<BodyReply>([&](auto handler) { this->client.Get(key, handler); });
  }
  DoneReply Delete(const std::string& key) {
    return Await<DoneReply>([&](auto handler) { this->client.Delete(key, handler); });
  }
};

}  // namespace

TEST_CASE("an object is stored, replaced, read and deleted") {
  ObjectFixture fixture;
  const std::string binary("a\0b\xff", 4);
  REQUIRE(fixture.Put("dir/key with space?", binary));
  CHECK(fixture.Get("dir/key with space?").Value() == binary);
  REQUIRE(fixture.Put("dir/key with space?", "second"));
  CHECK(fixture.Get("dir/key with space?").Value() == "second");
  CHECK(fixture.Delete("dir/key with space?"));
  CHECK(fixture.Delete("dir/key with space?"));
  CHECK(fixture.Get("dir/key with space?").Error().kind == ObjectErrorKind::kNotFound);
}

TEST_CASE("an outage of the object store is unknown for writes and unavailable for reads") {
  ObjectFixture fixture;
  fixture.server.SetFault(FaultTarget::kObjects, {.down = true});
  CHECK(fixture.Put("k", "v").Error().kind == ObjectErrorKind::kOutcomeUnknown);
  CHECK(fixture.Get("k").Error().kind == ObjectErrorKind::kUnavailable);
  CHECK(fixture.server.Objects().empty());
}

TEST_CASE("the list shows live and leaving instances after its lag") {
  PlatformFixture fixture({.list_lag = std::chrono::milliseconds(0)});
  InstanceListClient client(fixture.settings, fixture.http);
  const auto fetch = [&](const std::string& service) {
    return PlatformFixture::Await<ListReply>([&](auto handler) { client.Fetch(service, handler); });
  };
  fixture.server.ChangeList("profile", {"p1", "127.0.0.1:9001", "a"});
  fixture.server.ChangeList("profile", {"p2", "127.0.0.1:9002", "b", standin::ListState::kLeaving});
  fixture.server.ChangeList("other", {"o1", "127.0.0.1:9003", "a"});
  const std::vector<ListedInstance> expected{{"p1", "127.0.0.1:9001", "a", ListedState::kLive},
                                             {"p2", "127.0.0.1:9002", "b", ListedState::kLeaving}};
  CHECK(fetch("profile").Value() == expected);
  fixture.server.ChangeList("profile", {.name = "p1", .state = standin::ListState::kRemoved});
  CHECK(fetch("profile").Value().size() == 1);
  CHECK(fetch("unknown").Value().empty());
  fixture.server.SetFault(FaultTarget::kList, {.down = true});
  CHECK(fetch("profile").Error().kind == ListErrorKind::kUnavailable);
}

}  // namespace lentilhead::datastore
