#include "jobs/item_tracker.h"

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

TEST_CASE("items whose results are committed do not run again") {
  const ItemTracker items(Spec(3), {{"item-1", ItemOutcome::kCompleted, "x"}});
  CHECK(items.NextPosition() == 1);
  CHECK(items.NextItem(kStart) == 0);
  CHECK_FALSE(items.IsCompleteAfter(1));
  CHECK(items.IsCompleteAfter(2));
}

// Guards against a waiting item that holds up those behind it.
TEST_CASE("the search for the next item goes on behind an item that cannot start") {
  ItemTracker items(Spec(3), {});
  items.Progress(1).not_before = kStart + std::chrono::seconds(1);
  CHECK(items.NextItem(kStart) == 0);
  CHECK(items.NextItem(kStart, 1) == 2);
  CHECK(items.NextItem(kStart, 3) == std::nullopt);
}

TEST_CASE("results are committed in the order in which their items ended") {
  ItemTracker items(Spec(3), {});
  items.Progress(2).output = "two";
  items.End(2, ItemOutcome::kCompleted);
  items.End(0, ItemOutcome::kGivenUp);
  items.End(2, ItemOutcome::kGivenUp);
  const std::vector<ItemResult> results = items.NextResultsToCommit(1000, 10);
  REQUIRE(results.size() == 2);
  CHECK(results[0].id == "item-2");
  CHECK(results[0].output == "two");
  CHECK(results[1].outcome == ItemOutcome::kGivenUp);
  items.NoteCommitted(1);
  CHECK(items.NextPosition() == 1);
  CHECK(items.NextResultsToCommit(1000, 10)[0].id == "item-0");
}

TEST_CASE("the results to commit are limited by bytes and count but include at least one") {
  ItemTracker items(Spec(3), {});
  for (std::size_t item = 0; item < 3; ++item) {
    items.Progress(item).output = std::string(600, 'x');
    items.End(item, ItemOutcome::kCompleted);
  }
  CHECK(items.NextResultsToCommit(100, 10).size() == 1);
  CHECK(items.NextResultsToCommit(1300, 10).size() == 2);
  CHECK(items.NextResultsToCommit(10000, 2).size() == 2);
}

TEST_CASE("progress of an earlier owner is restored unless the item has ended") {
  ItemTracker items(Spec(2), {{"item-1", ItemOutcome::kCompleted, "x"}});
  ItemProgress progress;
  progress.output = "begun";
  progress.last_event = 4;
  items.Restore(0, progress);
  items.Restore(1, progress);
  items.Restore(9, progress);
  CHECK(items.Progress(0).last_event == 4);
  CHECK(items.Progress(1).phase == ItemPhase::kEnded);
  CHECK(items.StartedItems() == std::vector<std::size_t>{0});
}

TEST_CASE("only items whose progress changed since the last save are saved again") {
  ItemTracker items(Spec(3), {});
  items.Progress(0).last_event = 3;
  items.Progress(1).failures = 1;
  CHECK(items.Unsaved() == std::vector<std::size_t>{0, 1});
  items.NoteSaved(0, 3, 0);
  items.NoteSaved(1, std::nullopt, 1);
  CHECK(items.Unsaved().empty());
  items.Progress(0).last_event = 4;
  CHECK(items.Unsaved() == std::vector<std::size_t>{0});
  items.End(0, ItemOutcome::kCompleted);
  CHECK(items.Unsaved().empty());
}

TEST_CASE("progress that was not saved, or that was made during the save, is saved again") {
  ItemTracker items(Spec(2), {});
  items.Progress(0).last_event = 5;
  CHECK(items.Unsaved() == std::vector<std::size_t>{0});
  CHECK(items.Unsaved() == std::vector<std::size_t>{0});
  items.Progress(0).last_event = 7;
  items.NoteSaved(0, 5, 0);
  CHECK(items.Unsaved() == std::vector<std::size_t>{0});
}

TEST_CASE("waiting tokens decrease as results are committed, not as items end") {
  JobSpec spec = Spec(3);
  spec.items[0].tokens = 100;
  spec.items[1].tokens = 20;
  spec.items[2].tokens = 3;
  ItemTracker items(std::move(spec), {{"item-1", ItemOutcome::kCompleted, "x"}});
  CHECK(items.WaitingTokensAfter(0) == 103);
  items.End(2, ItemOutcome::kGivenUp);
  items.End(0, ItemOutcome::kCompleted);
  CHECK(items.WaitingTokensAfter(0) == 103);
  CHECK(items.WaitingTokensAfter(1) == 100);
  items.NoteCommitted(1);
  CHECK(items.WaitingTokensAfter(0) == 100);
  CHECK(items.WaitingTokensAfter(1) == 0);
}

TEST_CASE("giving up the rest ends every item once and discards partial output") {
  ItemTracker items(Spec(2), {});
  items.Progress(0).output = "half";
  items.GiveUpRest();
  items.GiveUpRest();
  const std::vector<ItemResult> results = items.NextResultsToCommit(1000, 10);
  REQUIRE(results.size() == 2);
  CHECK(results[0].output.empty());
  CHECK(items.NextItem(kStart) == std::nullopt);
}

}  // namespace
}  // namespace lentilhead::jobs
