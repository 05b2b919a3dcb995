#include "datastore/resolved_writer.h"

#include <doctest/doctest.h>

#include "standin/platform/platform_fixture.h"

namespace lentilhead::datastore {

namespace {

using framework::Reply;
using standin::FaultTarget;
using standin::PlatformFixture;
using RowReply = Reply<TableRow, TableError>;

constexpr std::chrono::milliseconds kPatience{5'000};
constexpr std::chrono::milliseconds kShortPatience{50};

struct WriterFixture : PlatformFixture {
  TableClient client{settings, http, metrics};
  WriteBudget budget{1'000};
  ResolvedWriter writer{"writer-a", client, budget, *timers, metrics};

  RowReply Write(const TableRow& row, std::chrono::milliseconds patience = kPatience) {
    return Await<RowReply>(
        [&](auto handler) { this->writer.Write(row, WritePriority::kLease, patience, handler); });
  }
  RowReply Get(const std::string& key) {
    return Await<RowReply>([&](auto handler) { this->client.Get("p", key, handler); });
  }
};

TableRow RowOf(int number) { return {"p", "r", "", {{"n", number}}}; }

}  // namespace

TEST_CASE("an insert and a replacement with lost answers are successes") {
  WriterFixture fixture;
  fixture.server.SetFault(FaultTarget::kTable, {.lose_answers = 1});
  auto inserted = fixture.Write(RowOf(1));
  REQUIRE(inserted);
  fixture.server.SetFault(FaultTarget::kTable, {.lose_answers = 1});
  TableRow changed = inserted.Value();
  changed.value["n"] = 2;
  const auto replaced = fixture.Write(changed);
  REQUIRE(replaced);
  const auto stored = fixture.Get("r");
  CHECK(stored.Value().value["n"] == 2);
  CHECK(stored.Value().etag == replaced.Value().etag);
  CHECK(fixture.server.Stats().at("table replace p") == 1);
}

TEST_CASE("a write of another writer is a conflict") {
  WriterFixture fixture;
  ResolvedWriter other("writer-b", fixture.client, fixture.budget, *fixture.timers,
                       fixture.metrics);
  const auto base = fixture.Write(RowOf(1));
  const auto won = PlatformFixture::Await<RowReply>(
      [&](auto handler) { other.Write(base.Value(), WritePriority::kLease, kPatience, handler); });
  REQUIRE(won);
  CHECK(fixture.Write(base.Value()).Error().kind == TableErrorKind::kConflict);
  CHECK(fixture.Write(RowOf(2)).Error().kind == TableErrorKind::kConflict);
}

TEST_CASE("a write during an outage stays unknown until its deadline and then goes through") {
  WriterFixture fixture;
  fixture.server.SetFault(FaultTarget::kTable, {.down = true});
  CHECK(fixture.Write(RowOf(1), kShortPatience).Error().kind == TableErrorKind::kOutcomeUnknown);
  std::optional<RowReply> reply;
  fixture.writer.Write(RowOf(2), WritePriority::kLease, kPatience,
                       [&](RowReply answer) { reply = std::move(answer); });
  const auto heal = fixture.timers->After(
      std::chrono::milliseconds(60), [&] { fixture.server.SetFault(FaultTarget::kTable, {}); });
  REQUIRE(PlatformFixture::RunUntil([&] { return reply.has_value(); }));
  REQUIRE(reply->HasValue());
  CHECK(fixture.Get("r").Value().value["n"] == 2);
}

TEST_CASE("a write without budget is refused and nothing is sent") {
  WriterFixture fixture;
  WriteBudget small(0.1);
  ResolvedWriter writer("writer-b", fixture.client, small, *fixture.timers, fixture.metrics);
  while (small.TryTake(WritePriority::kIntent, fixture.timers->Now())) {
  }
  const auto refused = PlatformFixture::Await<RowReply>([&](auto handler) {
    writer.Write(RowOf(1), WritePriority::kIntent, kShortPatience, handler);
  });
  CHECK(refused.Error().kind == TableErrorKind::kBudgetExhausted);
  CHECK(fixture.server.Table().Size() == 0);
}

}  // namespace lentilhead::datastore
