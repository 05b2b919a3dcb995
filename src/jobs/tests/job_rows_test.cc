#include "jobs/internal/job_rows.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "jobs/job_directory.h"

namespace lentilhead::jobs::internal {
namespace {

std::vector<rowstore::Row> Stored(const std::vector<rowstore::WrittenRow>& written) {
  std::vector<rowstore::Row> rows;
  rows.reserve(written.size());
  for (const rowstore::WrittenRow& row : written) {
    rows.push_back({row.key, row.value, 5, false});
  }
  std::sort(rows.begin(), rows.end(),
            [](const auto& left, const auto& right) { return left.key.key < right.key.key; });
  return rows;
}

TEST_CASE("a claim is decoded as it was encoded and another layout is rejected") {
  Claim claim;
  claim.job = "j1";
  claim.owner = "node#1";
  claim.state = JobState::kEnded;
  claim.total = 12;
  claim.max_attempts = 3;
  const std::optional<Claim> read = DecodeClaim({ClaimKey("j1"), EncodeClaim(claim), 9, false});
  REQUIRE(read);
  CHECK(read->owner == "node#1");
  CHECK(read->state == JobState::kEnded);
  CHECK(read->total == 12);
  CHECK(read->version == 9);
  CHECK_FALSE(DecodeClaim({ClaimKey("j1"), "garbage", 9, false}));
}

TEST_CASE("results of several rows are joined and an incomplete result is left out") {
  std::vector<rowstore::WrittenRow> written;
  for (std::uint64_t position = 0; position < 3; ++position) {
    const ItemResult result{"i" + std::to_string(position), ItemOutcome::kCompleted,
                            std::string(300, static_cast<char>('a' + position))};
    const auto rows = ResultRows("j1", position, result, 128);
    CHECK(rows.size() > 1);
    written.insert(written.end(), rows.begin(), rows.end());
  }
  std::vector<rowstore::Row> rows = Stored(written);
  REQUIRE(JoinResults(rows).size() == 3);
  CHECK(JoinResults(rows)[2].output == std::string(300, 'c'));
  rows.pop_back();
  CHECK(JoinResults(rows).size() == 2);
}

TEST_CASE("progress of an item is decoded as it was encoded") {
  ItemProgress progress;
  progress.output = "one\ntwo";
  progress.last_event = 2;
  progress.failures = 1;
  const rowstore::WrittenRow row = ProgressRow("j1", 17, progress);
  const auto read = DecodeProgress({row.key, row.value, 3, false});
  REQUIRE(read);
  CHECK(read->first == 17);
  CHECK(read->second.output == "one\ntwo");
  CHECK(read->second.last_event == 2);
  CHECK(read->second.failures == 1);
}

// Guards against a takeover or a read that ends with an exception at a row of another writer.
TEST_CASE("rows of results and of progress with a field of another type are left out") {
  const auto pack = [](const nlohmann::json& value) {
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(value);
    return std::string(bytes.begin(), bytes.end());
  };
  const auto list = [](auto... fields) { return nlohmann::json::array({fields...}); };
  const rowstore::RowKey key{kResultTable, "p0", "j1/00000000/0000"};
  REQUIRE(JoinResults({{key, "e" + pack(list("i", 0, "text")), 3, false}}).size() == 1);
  for (const nlohmann::json& value :
       {list(1, 0, "text"), list("i", "0", "text"), list("i", 0, nullptr), list("i", 0)}) {
    CHECK(JoinResults({{key, "e" + pack(value), 3, false}}).empty());
  }
  const rowstore::RowKey progress{kProgressTable, "p0", "j1/0017"};
  REQUIRE(DecodeProgress({progress, pack(list(2, 1, "one")), 3, false}));
  for (const nlohmann::json& value :
       {list("2", 1, "one"), list(2, nullptr, "one"), list(2, 1, 1)}) {
    CHECK_FALSE(DecodeProgress({progress, pack(value), 3, false}));
  }
  for (const char* name : {"j1/x", "j1/", "j1/17x", "j1/99999999999999999999999"}) {
    const rowstore::RowKey odd{kProgressTable, "p0", name};
    CHECK_FALSE(DecodeProgress({odd, pack(list(2, 1, "one")), 3, false}));
  }
}

TEST_CASE("exactly one live node ranks first for the takeover of a job") {
  const std::vector<std::string> alive = {"a#1", "b#1", "c#1"};
  for (int job = 0; job < 50; ++job) {
    const std::string id = "job-" + std::to_string(job);
    const auto first = TakeoverPolicy::Delay(id, {}, "x", 0);
    const auto leaders = std::count_if(alive.begin(), alive.end(), [&](const std::string& node) {
      return TakeoverPolicy::Delay(id, alive, node, 0) == first;
    });
    CHECK(leaders == 1);
  }
}

TEST_CASE("an older claim does not replace a newer one") {
  JobDirectory directory;
  Claim claim;
  claim.job = "j1";
  claim.version = 5;
  CHECK(directory.Put(claim));
  claim.version = 4;
  claim.owner = "old";
  CHECK_FALSE(directory.Put(claim));
  CHECK(directory.Find("j1")->owner.empty());
}

}  // namespace
}  // namespace lentilhead::jobs::internal
