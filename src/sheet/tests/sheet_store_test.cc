#include "sheet/sheet_store.h"

#include <doctest/doctest.h>

#include "sheet/sheet_parser.h"
#include "standin/platform/platform_fixture.h"

namespace lentilhead::sheet {

namespace {

using framework::Reply;
using standin::FaultTarget;
using standin::PlatformFixture;
using SheetReply = Reply<std::shared_ptr<const AcceptedSheet>, SheetStoreError>;
using RevisionReply = Reply<Revision, SheetStoreError>;
using HistoryReply = Reply<std::vector<SheetHistoryEntry>, SheetStoreError>;

std::string CsvOf(int capacity) {
  return "service,model,version,adapter,capacity,zones,roles,window\ns,m,1,," +
         std::to_string(capacity) + ",,,\n";
}

struct StoreFixture : PlatformFixture {
  datastore::TableClient table{settings, http, metrics};
  datastore::ObjectStoreClient objects{settings, http, metrics};
  datastore::WriteBudget budget{1'000};
  datastore::ResolvedWriter writer{"writer", table, budget, *timers, metrics};
  SheetStore store{table, objects, writer};

  SheetReply Submit(int capacity, Revision expected, const std::string& by) {
    const std::string csv = CsvOf(capacity);
    return Await<SheetReply>([&](auto handler) {
      this->store.Submit(csv, ParseSheet(csv).value(), expected, by, handler);
    });
  }
  SheetReply Fetch(Revision revision) {
    return Await<SheetReply>([&](auto handler) { this->store.Fetch(revision, handler); });
  }
  SheetReply Current() {
    return Await<SheetReply>([&](auto handler) { this->store.FetchCurrent(handler); });
  }
  HistoryReply History() {
    return Await<HistoryReply>([&](auto handler) { this->store.FetchHistory(handler); });
  }
  RevisionReply CurrentRevision() {
    return Await<RevisionReply>([&](auto handler) { this->store.FetchRevision(handler); });
  }
};

}  // namespace

TEST_CASE("an empty store has revision 0 and no sheet") {
  StoreFixture fixture;
  CHECK(fixture.CurrentRevision().Value() == 0);
  CHECK(fixture.Current().Value() == nullptr);
  CHECK(fixture.History().Value().empty());
  CHECK(fixture.Fetch(1).Error().kind == SheetStoreErrorKind::kNotFound);
}

TEST_CASE("accepted sheets are numbered, readable and listed newest first") {
  StoreFixture fixture;
  for (int revision = 1; revision <= 3; ++revision) {
    const auto accepted = fixture.Submit(revision * 10, revision - 1, "anna");
    REQUIRE(accepted);
    CHECK(accepted.Value()->revision == static_cast<Revision>(revision));
  }
  CHECK(fixture.CurrentRevision().Value() == 3);
  CHECK(fixture.Current().Value()->sheet.rows[0].capacity == 30);
  CHECK(fixture.Fetch(1).Value()->csv == CsvOf(10));
  CHECK(fixture.Fetch(3).Value()->csv == CsvOf(30));
  CHECK(fixture.Fetch(4).Error().kind == SheetStoreErrorKind::kNotFound);
  const auto history = fixture.History();
  REQUIRE(history.Value().size() == 3);
  CHECK(history.Value()[0].revision == 3);
  CHECK(history.Value()[2].revision == 1);
  CHECK(history.Value()[2].submitted_by == "anna");
}

TEST_CASE("a wrong expected revision is a conflict that names the current one") {
  StoreFixture fixture;
  REQUIRE(fixture.Submit(1, 0, "anna"));
  for (const Revision expected : {0, 2}) {
    const auto refused = fixture.Submit(2, expected, "bela");
    REQUIRE_FALSE(refused);
    CHECK(refused.Error().kind == SheetStoreErrorKind::kConflict);
    CHECK(refused.Error().current == 1);
    CHECK(refused.Error().current_by == "anna");
  }
  CHECK(fixture.Current().Value()->sheet.rows[0].capacity == 1);
}

TEST_CASE("a submission with lost answers is accepted once") {
  StoreFixture fixture;
  fixture.server.SetFault(FaultTarget::kTable, {.lose_answers = 1});
  REQUIRE(fixture.Submit(1, 0, "anna"));
  fixture.server.SetFault(FaultTarget::kTable, {.lose_answers = 2});
  fixture.server.SetFault(FaultTarget::kObjects, {.lose_answers = 1});
  REQUIRE(fixture.Submit(2, 1, "anna"));
  CHECK(fixture.CurrentRevision().Value() == 2);
  CHECK(fixture.History().Value().size() == 2);
}

TEST_CASE("a submission while the object store is down changes nothing") {
  StoreFixture fixture;
  fixture.server.SetFault(FaultTarget::kObjects, {.down = true});
  CHECK(fixture.Submit(1, 0, "anna").Error().kind == SheetStoreErrorKind::kUnavailable);
  CHECK(fixture.CurrentRevision().Value() == 0);
}

TEST_CASE("a stored body that was changed is refused") {
  StoreFixture fixture;
  REQUIRE(fixture.Submit(1, 0, "anna"));
  fixture.server.Objects().begin()->second = CsvOf(2);
  CHECK(fixture.Current().Error().kind == SheetStoreErrorKind::kInvalidBody);
}

}  // namespace lentilhead::sheet
