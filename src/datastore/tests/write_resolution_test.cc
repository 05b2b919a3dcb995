#include "datastore/internal/write_resolution.h"

#include <doctest/doctest.h>

#include "datastore/tests/resolution_world.h"

namespace lentilhead::datastore {

using internal::FinishWrite;
using internal::SendRead;
using internal::SendWrite;
using internal::WaitThen;
using internal::WriteResolution;

namespace {

constexpr framework::MonotonicTime kStart{std::chrono::hours(1)};
constexpr std::chrono::milliseconds kPatience{100};
constexpr int kStepsPerSeed = 50'000;

WriteResolution ReplacementOf(const std::string& etag) {
  return {{"p", "r", etag, {{"n", 1}}}, {"a", 7, ""}, kStart, kPatience};
}

TableErrorKind KindOf(const internal::WriteStep& step) {
  REQUIRE(std::holds_alternative<FinishWrite>(step));
  REQUIRE_FALSE(std::get<FinishWrite>(step).reply);
  return std::get<FinishWrite>(step).reply.Error().kind;
}

/// Row that a chain of writers left, each of whom replaced the version before.
TableRow RowAfter(const std::vector<internal::WriteStamp>& chain, bool keeps_lineage = true) {
  TableRow row{"p", "r", "etag-last", nlohmann::json::object()};
  for (const internal::WriteStamp& stamp : chain) {
    if (!keeps_lineage) {
      row.value = nlohmann::json::object();
    }
    internal::PutStamp(row.value, stamp);
  }
  return row;
}

const TableError kUnknown{TableErrorKind::kOutcomeUnknown, ""};
const TableError kConflict{TableErrorKind::kConflict, ""};

}  // namespace

TEST_CASE("an unknown outcome is settled by what the row proves") {
  WriteResolution write = ReplacementOf("e0");
  REQUIRE(std::holds_alternative<SendWrite>(write.Begin()));
  REQUIRE(std::holds_alternative<SendRead>(write.OnWritten(kUnknown, kStart)));
  SUBCASE("the own stamp is a success") {
    const auto end = write.OnRead(RowAfter({{"a", 7, "e0"}}), kStart);
    CHECK(std::get<FinishWrite>(end).reply.Value().etag == "etag-last");
  }
  SUBCASE("the own stamp in the lineage is a success") {
    const auto end = write.OnRead(RowAfter({{"a", 7, "e0"}, {"b", 1, "e1"}}), kStart);
    REQUIRE(std::get<FinishWrite>(end).reply);
    CHECK(std::get<FinishWrite>(end).reply.Value().value["n"] == 1);
  }
  SUBCASE("another successor of the same version is a conflict") {
    CHECK(KindOf(write.OnRead(RowAfter({{"b", 7, "e0"}, {"b", 8, "e1"}}), kStart)) ==
          TableErrorKind::kConflict);
  }
  SUBCASE("a direct successor by another writer is a conflict without any lineage") {
    CHECK(KindOf(write.OnRead(RowAfter({{"b", 7, "e0"}}), kStart)) == TableErrorKind::kConflict);
  }
  SUBCASE("a row without lineage proves nothing") {
    CHECK(KindOf(write.OnRead(RowAfter({{"a", 7, "e0"}, {"b", 8, "e1"}}, false), kStart)) ==
          TableErrorKind::kOutcomeUnknown);
  }
  SUBCASE("an unchanged row is written again with the same stamp") {
    TableRow unchanged{"p", "r", "e0", nlohmann::json::object()};
    REQUIRE(std::holds_alternative<WaitThen>(write.OnRead(unchanged, kStart)));
    CHECK(std::holds_alternative<SendWrite>(write.OnWaited()));
    CHECK(write.Row().value["write_sequence"] == 7);
  }
  SUBCASE("an outage that lasts past the deadline stays unknown") {
    CHECK(KindOf(write.OnRead(TableError{TableErrorKind::kUnavailable, ""}, kStart + kPatience)) ==
          TableErrorKind::kOutcomeUnknown);
  }
}

TEST_CASE("a refusal by the condition alone is a conflict even if the winner cannot be read") {
  WriteResolution write = ReplacementOf("e0");
  REQUIRE(std::holds_alternative<SendRead>(write.OnWritten(kConflict, kStart)));
  CHECK(KindOf(write.OnRead(TableError{TableErrorKind::kUnavailable, ""}, kStart + kPatience)) ==
        TableErrorKind::kConflict);
}

TEST_CASE("throttling is retried with growing delays until the deadline") {
  WriteResolution write = ReplacementOf("");
  const TableError throttled{TableErrorKind::kThrottled, ""};
  const auto first = write.OnWritten(throttled, kStart);
  REQUIRE(std::holds_alternative<WaitThen>(first));
  CHECK(std::get<WaitThen>(first).delay <= kPatience);
  CHECK(KindOf(write.OnWritten(throttled, kStart + kPatience)) == TableErrorKind::kThrottled);
}

TEST_CASE("racing writers with lost answers, late requests and outages keep the invariants") {
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    ResolutionWorld world(seed);
    for (int step = 0; step < kStepsPerSeed && world.Violation().empty(); ++step) {
      world.Step();
    }
    CAPTURE(seed);
    CHECK(world.Violation() == "");
    for (const char* result : {"stored", "superseded", "conflict", "not_found", "outcome_unknown",
                               "throttled", "unavailable", "budget_exhausted"}) {
      CAPTURE(std::string(result));
      CHECK(world.Ended(result) > 0);
    }
  }
}

}  // namespace lentilhead::datastore
