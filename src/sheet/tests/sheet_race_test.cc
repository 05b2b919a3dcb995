#include <doctest/doctest.h>

#include <random>

#include "framework/hash.h"
#include "sheet/sheet_parser.h"
#include "sheet/sheet_store.h"
#include "standin/platform/platform_fixture.h"

namespace lentilhead::sheet {

namespace {

using framework::Reply;
using standin::FaultTarget;
using standin::PlatformFixture;
using SheetReply = Reply<std::shared_ptr<const AcceptedSheet>, SheetStoreError>;
using HistoryReply = Reply<std::vector<SheetHistoryEntry>, SheetStoreError>;

constexpr int kChanges = 1'000;

/// What operators were told, to be compared with the history at the end.
struct Record {
  std::map<Revision, std::string> winners;
  std::map<Revision, std::string> digests;
  std::map<std::string, int> ends;
  std::vector<SheetStoreError> conflicts;
  std::set<std::string> unknown_digests;
};

/// An operator on an instance of its own, who submits again and again.
class Operator {
 public:
  Operator(std::string name, PlatformFixture& fixture, Record& record)
      : name(std::move(name)),
        table(fixture.settings, fixture.http, fixture.metrics),
        objects(fixture.settings, fixture.http, fixture.metrics),
        writer(this->name, this->table, this->budget, *fixture.timers, fixture.metrics),
        record(record) {}

  void Submit() {
    this->submitting = true;
    const std::string csv = "service,model,version,adapter,capacity,zones,roles,window\n" +
                            this->name + ",m,1,," + std::to_string(++this->submissions) + ",,,\n";
    this->store.Submit(csv, ParseSheet(csv).value(), this->known, this->name,
                       [this, digest = framework::Sha256Hex(csv)](const SheetReply& reply) {
                         this->submitting = false;
                         this->Note(reply, digest);
                       });
  }

  [[nodiscard]] bool IsSubmitting() const { return this->submitting; }

  SheetStore& Store() { return this->store; }

 private:
  void Note(const SheetReply& reply, const std::string& digest) {
    if (reply) {
      this->record.ends["accepted"] += 1;
      const Revision revision = reply.Value()->revision;
      REQUIRE(this->record.winners.emplace(revision, this->name).second);
      this->record.digests.emplace(revision, digest);
      this->known = revision;
      return;
    }
    const SheetStoreError& error = reply.Error();
    switch (error.kind) {
      case SheetStoreErrorKind::kConflict:
        this->record.ends["conflict"] += 1;
        this->record.conflicts.push_back(error);
        this->known = error.current;
        return;
      case SheetStoreErrorKind::kOutcomeUnknown:
        this->record.ends["unknown"] += 1;
        this->record.unknown_digests.insert(digest);
        return;
      default:
        REQUIRE(error.kind == SheetStoreErrorKind::kUnavailable);
        this->record.ends["unavailable"] += 1;
    }
  }

  std::string name;
  datastore::TableClient table;
  datastore::ObjectStoreClient objects;
  datastore::WriteBudget budget{100'000};
  datastore::ResolvedWriter writer;
  SheetStore store{table, objects, writer};
  Record& record;
  Revision known = 0;
  int submissions = 0;
  bool submitting = false;
};

void CompareWithHistory(const Record& record, const std::vector<SheetHistoryEntry>& history) {
  std::map<Revision, SheetHistoryEntry> entries;
  for (const SheetHistoryEntry& entry : history) {
    CHECK(entries.emplace(entry.revision, entry).second);
  }
  REQUIRE(entries.size() == history.front().revision);
  for (const auto& [revision, winner] : record.winners) {
    CHECK(entries.at(revision).submitted_by == winner);
    CHECK(entries.at(revision).digest == record.digests.at(revision));
  }
  for (const auto& [revision, entry] : entries) {
    CHECK((record.winners.contains(revision) || record.unknown_digests.contains(entry.digest)));
  }
  for (const SheetStoreError& conflict : record.conflicts) {
    REQUIRE(conflict.current > 0);
    CHECK(entries.at(conflict.current).submitted_by == conflict.current_by);
  }
}

/// Lets two operators race until enough changes are accepted.
/// @param inject called before each submission with the number of accepted changes.
template <class Inject>
Record Race(PlatformFixture& fixture, Inject inject) {
  Record record;
  Operator anna("anna", fixture, record);
  Operator bela("bela", fixture, record);
  while (record.ends["accepted"] < kChanges) {
    inject(record.ends["accepted"]);
    for (Operator* next : {&anna, &bela}) {
      if (!next->IsSubmitting()) {
        next->Submit();
      }
    }
    REQUIRE(
        PlatformFixture::RunUntil([&] { return !anna.IsSubmitting() || !bela.IsSubmitting(); }));
  }
  fixture.server.SetFault(FaultTarget::kTable, {});
  fixture.server.SetFault(FaultTarget::kObjects, {});
  REQUIRE(PlatformFixture::RunUntil([&] { return !anna.IsSubmitting() && !bela.IsSubmitting(); }));
  const auto history = PlatformFixture::Await<HistoryReply>(
      [&](auto handler) { anna.Store().FetchHistory(handler); });
  REQUIRE(history);
  CompareWithHistory(record, history.Value());
  return record;
}

}  // namespace

TEST_CASE("of two operators that race 1,000 changes one wins each and the other is told") {
  PlatformFixture fixture;
  const Record record = Race(fixture, [](int) {});
  CHECK(record.winners.size() >= kChanges);
  CHECK(record.ends.at("conflict") > kChanges / 10);
  CHECK_FALSE(record.ends.contains("unknown"));
}

TEST_CASE("the race keeps its promises while answers are lost and the store goes down") {
  PlatformFixture fixture;
  std::mt19937_64 random(11);
  framework::TimerSubscription heal;
  std::uint64_t outages = 0;
  const Record record = Race(fixture, [&](int) {
    if (random() % 4 == 0) {
      fixture.server.SetFault(FaultTarget::kTable,
                              {.lose_answers = static_cast<int>(1 + random() % 3)});
    }
    if (random() % 8 == 0) {
      fixture.server.SetFault(FaultTarget::kObjects, {.lose_answers = 1});
    }
    if (random() % 100 == 0) {
      outages += 1;
      fixture.server.SetFault(FaultTarget::kTable, {.down = true});
      heal = fixture.timers->After(std::chrono::milliseconds(30),
                                   [&] { fixture.server.SetFault(FaultTarget::kTable, {}); });
    }
  });
  CHECK(record.ends.at("conflict") > 0);
  CHECK(outages > 5);
  CHECK(fixture.server.Stats().at("table calls in an outage") >= outages);
  CHECK(fixture.server.Stats().at("table answers lost") > kChanges / 10);
}

}  // namespace lentilhead::sheet
