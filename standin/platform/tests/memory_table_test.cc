#include "standin/platform/memory_table.h"

#include <doctest/doctest.h>

#include "standin/platform/internal/table_path.h"
#include "standin/platform/lagging_list.h"

namespace lentilhead::standin {

TEST_CASE("conditional writes of the in-memory table check existence and etag") {
  MemoryTable table;
  const TableResult first = table.Insert("p", "r", "1");
  CHECK(table.Insert("p", "r", "2").status == TableStatus::kExists);
  const TableResult second = table.Replace("p", "r", first.etag, "3");
  REQUIRE(second.status == TableStatus::kDone);
  CHECK(second.etag != first.etag);
  CHECK(table.Replace("p", "r", first.etag, "4").status == TableStatus::kEtagMismatch);
  CHECK(table.Delete("p", "r", first.etag).status == TableStatus::kEtagMismatch);
  CHECK(table.Get("p", "r")->value == "3");
  CHECK(table.Delete("p", "r", second.etag).status == TableStatus::kDone);
  CHECK(table.Replace("p", "r", second.etag, "5").status == TableStatus::kNotFound);
  const TableResult again = table.Insert("p", "r", "6");
  CHECK(again.etag != first.etag);
  CHECK(again.etag != second.etag);
}

TEST_CASE("entity paths and filters are parsed with doubled quotes") {
  const auto keys = internal::ReadEntityPath("/table/t(PartitionKey='it''s',RowKey='a%20b')");
  REQUIRE(keys);
  CHECK(keys->partition == "it's");
  CHECK(keys->key == "a b");
  CHECK_FALSE(internal::ReadEntityPath("/table/t(PartitionKey='p')"));
  CHECK(internal::ReadPartitionFilter("PartitionKey eq 'p'") == "p");
  CHECK_FALSE(internal::ReadPartitionFilter("PartitionKey eq 'p' or 1"));
}

TEST_CASE("list changes become visible in order after the lag") {
  using std::chrono::seconds;
  LaggingList list(seconds(30));
  const framework::MonotonicTime start{seconds(100)};
  list.RecordChange("s", {"e1", "1.2.3.4:5", "a", ListState::kLive}, start);
  list.RecordChange("s", {"e1", "1.2.3.4:5", "a", ListState::kLeaving}, start + seconds(10));
  list.RecordChange("s", {.name = "e1", .state = ListState::kRemoved}, start + seconds(20));
  CHECK(list.VisibleEntries("s", start + seconds(29)).empty());
  CHECK(list.VisibleEntries("s", start + seconds(30))[0].state == ListState::kLive);
  CHECK(list.VisibleEntries("s", start + seconds(40))[0].state == ListState::kLeaving);
  CHECK(list.VisibleEntries("s", start + seconds(50)).empty());
}

}  // namespace lentilhead::standin
