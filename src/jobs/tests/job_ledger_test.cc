#include "jobs/job_ledger.h"

#include <doctest/doctest.h>

namespace lentilhead::jobs {
namespace {

const net::SteadyTime kStart = net::SteadyTime{} + std::chrono::hours(1);

JobSpec Spec(int items) {
  JobSpec spec;
  for (int item = 0; item < items; ++item) {
    spec.items.push_back({"item-" + std::to_string(item), "/p/", {}, "body"});
  }
  return spec;
}

TEST_CASE("items that are listed already do not run again") {
  const JobLedger ledger(Spec(3), {{"item-1", ItemEnd::kCompleted, "x"}});
  CHECK(ledger.NextPosition() == 1);
  CHECK(ledger.NextItem(kStart) == 0);
  CHECK_FALSE(ledger.IsCompleteAfter(1));
  CHECK(ledger.IsCompleteAfter(2));
}

TEST_CASE("results keep the order in which items ended, and their positions") {
  JobLedger ledger(Spec(3), {});
  ledger.Progress(2).output = "two";
  ledger.End(2, ItemEnd::kCompleted);
  ledger.End(0, ItemEnd::kGivenUp);
  ledger.End(2, ItemEnd::kGivenUp);
  const std::vector<ItemResult> group = ledger.NextGroup(1000, 10);
  REQUIRE(group.size() == 2);
  CHECK(group[0].id == "item-2");
  CHECK(group[0].output == "two");
  CHECK(group[1].end == ItemEnd::kGivenUp);
  ledger.NoteCommitted(1);
  CHECK(ledger.NextPosition() == 1);
  CHECK(ledger.NextGroup(1000, 10)[0].id == "item-0");
}

TEST_CASE("a group is bounded by bytes and count but never empty") {
  JobLedger ledger(Spec(3), {});
  for (std::size_t item = 0; item < 3; ++item) {
    ledger.Progress(item).output = std::string(600, 'x');
    ledger.End(item, ItemEnd::kCompleted);
  }
  CHECK(ledger.NextGroup(100, 10).size() == 1);
  CHECK(ledger.NextGroup(1300, 10).size() == 2);
  CHECK(ledger.NextGroup(10000, 2).size() == 2);
}

TEST_CASE("what an earlier owner had of an item is restored, unless the item is listed") {
  JobLedger ledger(Spec(2), {{"item-1", ItemEnd::kCompleted, "x"}});
  ItemProgress progress;
  progress.output = "begun";
  progress.last_event = 4;
  ledger.Restore(0, progress);
  ledger.Restore(1, progress);
  ledger.Restore(9, progress);
  CHECK(ledger.Progress(0).last_event == 4);
  CHECK(ledger.Progress(1).phase == ItemPhase::kEnded);
  CHECK(ledger.Begun() == std::vector<std::size_t>{0});
}

TEST_CASE("only items that have come further since they were saved are saved again") {
  JobLedger ledger(Spec(3), {});
  ledger.Progress(0).last_event = 3;
  ledger.Progress(1).failures = 1;
  CHECK(ledger.Unsaved() == std::vector<std::size_t>{0, 1});
  ledger.NoteSaved(0);
  ledger.NoteSaved(1);
  CHECK(ledger.Unsaved().empty());
  ledger.Progress(0).last_event = 4;
  CHECK(ledger.Unsaved() == std::vector<std::size_t>{0});
  ledger.End(0, ItemEnd::kCompleted);
  CHECK(ledger.Unsaved().empty());
}

TEST_CASE("giving up the rest ends every item once and drops partial output") {
  JobLedger ledger(Spec(2), {});
  ledger.Progress(0).output = "half";
  ledger.GiveUpRest();
  ledger.GiveUpRest();
  const std::vector<ItemResult> group = ledger.NextGroup(1000, 10);
  REQUIRE(group.size() == 2);
  CHECK(group[0].output.empty());
  CHECK(ledger.NextItem(kStart) == std::nullopt);
}

}  // namespace
}  // namespace lentilhead::jobs
