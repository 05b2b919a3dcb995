#include "batch/internal/job_ledger.h"

#include <doctest/doctest.h>

namespace lentilhead::batch::internal {

TEST_CASE(
    "an item that must not be repeated and whose stream carried an error gets a result line") {
  const framework::MonotonicTime now{std::chrono::seconds(1)};
  JobRecord stored;
  stored.at_most_once = true;
  stored.items = 1;
  stored.done = ItemBitmap(1);
  const JobRecord claimed = JobLedger::ClaimOf(stored, "owner", {});
  JobLedger ledger(stored, claimed, "etag", {}, now);
  ledger.OnHeld("puller", 1, {}, now);
  const std::vector<ItemGrant> grants =
      ledger.GrantItems("puller", 1, 1, 1, [](std::uint32_t) { return true; });
  REQUIRE(grants.size() == 1);
  ledger.OnResult("puller", {0, grants[0].attempt, AttemptOutcome::kFailed, "", {}}, now);
  REQUIRE(ledger.EndingItems().size() == 1);
  CHECK(ledger.EndingItems()[0].reason == EndReason::kAttemptsExhausted);
}

}  // namespace lentilhead::batch::internal
