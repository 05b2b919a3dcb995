#include "datastore/write_budget.h"

#include <doctest/doctest.h>

#include "datastore/platform_settings.h"

namespace lentilhead::datastore {

namespace {

constexpr framework::MonotonicTime kStart{std::chrono::hours(1)};

int TakeAll(WriteBudget& budget, WritePriority priority, framework::MonotonicTime now) {
  int taken = 0;
  while (budget.TryTake(priority, now)) {
    ++taken;
  }
  return taken;
}

}  // namespace

TEST_CASE("less urgent writes leave a share of the budget to more urgent ones") {
  WriteBudget budget(100);
  CHECK(TakeAll(budget, WritePriority::kProgress, kStart) == 50);
  CHECK(TakeAll(budget, WritePriority::kCommit, kStart) == 20);
  CHECK(TakeAll(budget, WritePriority::kLease, kStart) == 15);
  CHECK(TakeAll(budget, WritePriority::kSheet, kStart) == 10);
  CHECK(TakeAll(budget, WritePriority::kIntent, kStart) == 5);
}

TEST_CASE("the budget says when a class may write again") {
  WriteBudget budget(100);
  TakeAll(budget, WritePriority::kIntent, kStart);
  const auto wait = budget.TimeUntil(WritePriority::kProgress, kStart);
  CHECK_FALSE(budget.TryTake(WritePriority::kProgress, kStart + wait / 2));
  CHECK(budget.TryTake(WritePriority::kProgress, kStart + wait + std::chrono::microseconds(1)));
}

TEST_CASE("the platform's settings list every fault") {
  framework::SettingsReader reader(
      "[platform]\ntable_url = \"ftp://x\"\nlist_url = \"http://l/\"\nwrites_per_second = 0\n",
      "test.toml");
  const PlatformSettings settings = PlatformSettings::Read(reader);
  CHECK(settings.list_url == "http://l");
  const auto problems = boost::leaf::try_handle_all(
      [&]() -> framework::Result<std::vector<framework::SettingsProblem>> {
        BOOST_LEAF_CHECK(reader.Finish());
        return std::vector<framework::SettingsProblem>{};
      },
      [](const framework::SettingsProblems& found) { return found.problems; },
      [] { return std::vector<framework::SettingsProblem>{}; });
  REQUIRE(problems.size() == 3);
  CHECK(problems[0].key == "platform.table_url");
  CHECK(problems[1].key == "platform.object_url");
  CHECK(problems[2].key == "platform.writes_per_second");
}

}  // namespace lentilhead::datastore
