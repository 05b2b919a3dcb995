#include "datastore/table_client.h"

#include <doctest/doctest.h>

#include "standin/platform/platform_fixture.h"

namespace lentilhead::datastore {

namespace {

using framework::Done;
using framework::Reply;
using standin::FaultTarget;
using standin::PlatformFixture;
using RowReply = Reply<TableRow, TableError>;
using RowsReply = Reply<std::vector<TableRow>, TableError>;
using DoneReply = Reply<Done, TableError>;

struct TableFixture : PlatformFixture {
  using PlatformFixture::PlatformFixture;

  TableClient client{settings, http, metrics};

  RowReply Insert(const TableRow& row) {
    return Await<RowReply>([&](auto handler) { this->client.Insert(row, handler); });
  }
  RowReply Replace(const TableRow& row) {
    return Await<RowReply>([&](auto handler) { this->client.Replace(row, handler); });
  }
  RowReply Get(const std::string& partition, const std::string& key) {
    return Await<RowReply>([&](auto handler) { this->client.Get(partition, key, handler); });
  }
  RowsReply Query(const std::string& partition) {
    return Await<RowsReply>([&](auto handler) { this->client.Query(partition, handler); });
  }
  DoneReply Delete(const std::string& key, const std::string& etag) {
    return Await<DoneReply>([&](auto handler) { this->client.Delete("p", key, etag, handler); });
  }
};

TableRow RowOf(const std::string& key, int number) { return {"p", key, "", {{"n", number}}}; }

}  // namespace

TEST_CASE("a row is inserted, read, replaced and deleted under its etag") {
  TableFixture fixture;
  const auto inserted = fixture.Insert(RowOf("r", 1));
  REQUIRE(inserted);
  REQUIRE_FALSE(inserted.Value().etag.empty());
  CHECK(fixture.Insert(RowOf("r", 2)).Error().kind == TableErrorKind::kConflict);
  TableRow changed = inserted.Value();
  changed.value["n"] = 3;
  const auto replaced = fixture.Replace(changed);
  REQUIRE(replaced);
  CHECK(fixture.Replace(changed).Error().kind == TableErrorKind::kConflict);
  const auto read = fixture.Get("p", "r");
  REQUIRE(read);
  CHECK(read.Value().value["n"] == 3);
  CHECK(read.Value().etag == replaced.Value().etag);
  CHECK(fixture.Delete("r", inserted.Value().etag).Error().kind == TableErrorKind::kConflict);
  CHECK(fixture.Delete("r", replaced.Value().etag));
  CHECK(fixture.Get("p", "r").Error().kind == TableErrorKind::kNotFound);
}

TEST_CASE("keys with characters that tables and URLs forbid are kept apart") {
  TableFixture fixture;
  const std::vector<std::string> keys{"a/b", "a\\b", "it's", "a#?%b", "a~2Fb", "é (x)=,&+", "\n"};
  for (std::size_t index = 0; index < keys.size(); ++index) {
    REQUIRE(fixture.Insert(RowOf(keys[index], static_cast<int>(index))));
  }
  for (std::size_t index = 0; index < keys.size(); ++index) {
    const auto read = fixture.Get("p", keys[index]);
    REQUIRE(read);
    CHECK(read.Value().key == keys[index]);
    CHECK(read.Value().value["n"] == index);
  }
  CHECK(fixture.Query("p").Value().size() == keys.size());
}

TEST_CASE("a query follows its pages and returns only its partition") {
  TableFixture fixture{standin::PlatformServerOptions{.page_size = 3}};
  for (int index = 0; index < 10; ++index) {
    REQUIRE(fixture.Insert(RowOf("key'" + std::to_string(index), index)));
  }
  REQUIRE(fixture.Insert({"p2", "other", "", nlohmann::json::object()}));
  const auto rows = fixture.Query("p");
  REQUIRE(rows);
  REQUIRE(rows.Value().size() == 10);
  CHECK(rows.Value().front().value["n"] == 0);
  CHECK(rows.Value().back().key == "key'9");
  CHECK_FALSE(rows.Value().back().etag.empty());
  CHECK(fixture.server.Stats().at("table query p") == 4);
}

TEST_CASE("a write whose answer is lost is unknown and is sent only once") {
  TableFixture fixture;
  const auto inserted = fixture.Insert(RowOf("r", 1));
  fixture.server.SetFault(FaultTarget::kTable, {.lose_answers = 1});
  TableRow changed = inserted.Value();
  changed.value["n"] = 2;
  CHECK(fixture.Replace(changed).Error().kind == TableErrorKind::kOutcomeUnknown);
  CHECK(fixture.server.Stats().at("table replace p") == 1);
  CHECK(fixture.Get("p", "r").Value().value["n"] == 2);
  fixture.server.SetFault(FaultTarget::kTable, {.lose_answers = 1});
  CHECK(fixture.Insert(RowOf("s", 1)).Error().kind == TableErrorKind::kOutcomeUnknown);
  CHECK(fixture.server.Stats().at("table insert p") == 2);
}

TEST_CASE("throttling, an outage and a timeout are told apart") {
  TableFixture throttled{
      standin::PlatformServerOptions{.writes_per_second = 0.001, .reads_per_second = 0.001}};
  REQUIRE(throttled.Insert(RowOf("r", 1)));
  CHECK(throttled.Insert(RowOf("s", 1)).Error().kind == TableErrorKind::kThrottled);
  REQUIRE(throttled.Get("p", "r"));
  CHECK(throttled.Get("p", "r").Error().kind == TableErrorKind::kThrottled);

  TableFixture fixture;
  fixture.server.SetFault(FaultTarget::kTable, {.down = true});
  CHECK(fixture.Get("p", "r").Error().kind == TableErrorKind::kUnavailable);
  CHECK(fixture.Insert(RowOf("r", 1)).Error().kind == TableErrorKind::kOutcomeUnknown);
  fixture.server.SetFault(FaultTarget::kTable, {});
  CHECK(fixture.Get("p", "r").Error().kind == TableErrorKind::kNotFound);

  PlatformSettings hasty = fixture.settings;
  hasty.request_timeout = std::chrono::milliseconds(20);
  TableClient impatient(hasty, fixture.http, fixture.metrics);
  fixture.server.SetFault(FaultTarget::kTable, {.delay = std::chrono::milliseconds(200)});
  const auto late = PlatformFixture::Await<RowReply>(
      [&](auto handler) { impatient.Insert(RowOf("late", 1), handler); });
  CHECK(late.Error().kind == TableErrorKind::kOutcomeUnknown);
  CHECK(PlatformFixture::RunUntil([&] { return fixture.server.Table().Size() == 1; }));
}

TEST_CASE("a destroyed client calls no handler") {
  TableFixture fixture;
  int calls = 0;
  {
    TableClient client(fixture.settings, fixture.http, fixture.metrics);
    client.Get("p", "r", [&](const RowReply&) { ++calls; });
  }
  REQUIRE(fixture.Insert(RowOf("r", 1)));
  REQUIRE(fixture.Get("p", "r"));
  CHECK(calls == 0);
}

}  // namespace lentilhead::datastore
