#include "gateway/shared_limit.h"

#include <doctest/doctest.h>

namespace lentilhead::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr net::SteadyTime kStart{std::chrono::hours(1)};
constexpr std::uint32_t kEndpoint = 7;

/// A limit of 4 requests per second that was named at kStart.
SharedLimit NamedLimit() {
  SharedLimit limit(kStart);
  limit.RecordNamed(4, kStart - milliseconds(50), kStart);
  return limit;
}

TEST_CASE("a limit fills from nothing and each request of any node takes a token") {
  SharedLimit limit = NamedLimit();
  CHECK(limit.LevelAt(kStart) == 0);
  CHECK(limit.LevelAt(kStart + milliseconds(500)) == doctest::Approx(2));
  limit.RecordSent(kStart + milliseconds(500));
  CHECK(limit.LevelAt(kStart + milliseconds(500)) == doctest::Approx(1));
  EndpointLimitReport report = NamedLimit().Report(kEndpoint, kStart + milliseconds(500));
  limit.Merge("peer", report, kStart + milliseconds(600));
  report.sent = 3;
  limit.Merge("peer", report, kStart + seconds(2));
  report.sent = 4;
  limit.Merge("peer", report, kStart + seconds(2));
  limit.Merge("peer", report, kStart + seconds(2));
  CHECK(limit.LevelAt(kStart + seconds(2)) == doctest::Approx(limit.Capacity() - 4));
}

TEST_CASE("a full bucket is bounded and a share fills it more slowly") {
  SharedLimit limit = NamedLimit();
  CHECK(limit.LevelAt(kStart + seconds(100)) == doctest::Approx(limit.Capacity()));
  limit.SetShare(0.25, kStart);
  CHECK(limit.LevelAt(kStart + seconds(1)) == doctest::Approx(1));
}

TEST_CASE("a lower limit applies at once and a higher one only from a later request") {
  SharedLimit limit = NamedLimit();
  CHECK(limit.RecordNamed(2, kStart - milliseconds(80), kStart + milliseconds(10)) ==
        LimitChange::kChanged);
  CHECK(limit.Limit() == 2);
  CHECK(limit.RecordNamed(9, kStart - milliseconds(90), kStart + milliseconds(20)) ==
        LimitChange::kNone);
  CHECK(limit.Limit() == 2);
  CHECK(limit.RecordNamed(9, kStart + milliseconds(15), kStart + milliseconds(60)) ==
        LimitChange::kChanged);
  CHECK(limit.Limit() == 9);
}

TEST_CASE("four answers in a row that name no limit end it") {
  SharedLimit limit = NamedLimit();
  const net::SteadyTime sent = kStart + milliseconds(500);
  for (int answer = 0; answer < 3; ++answer) {
    CHECK(limit.RecordUnnamed(sent, sent + milliseconds(50)) == LimitChange::kNone);
  }
  limit.RecordNamed(4, sent, sent + milliseconds(60));
  for (int answer = 0; answer < 3; ++answer) {
    CHECK(limit.RecordUnnamed(sent + seconds(1), sent + seconds(2)) == LimitChange::kNone);
  }
  CHECK(limit.IsActive());
  CHECK(limit.RecordUnnamed(sent + seconds(1), sent + seconds(2)) == LimitChange::kEnded);
  CHECK_FALSE(limit.IsActive());
}

TEST_CASE("answers to requests that were sent before the last naming do not end a limit") {
  SharedLimit limit = NamedLimit();
  for (int answer = 0; answer < 8; ++answer) {
    CHECK(limit.RecordUnnamed(kStart - milliseconds(1), kStart + seconds(1)) == LimitChange::kNone);
  }
  CHECK(limit.IsActive());
}

TEST_CASE("answers to several nodes end a limit together") {
  SharedLimit limit = NamedLimit();
  const net::SteadyTime now = kStart + seconds(1);
  limit.RecordUnnamed(now, now);
  EndpointLimitReport report;
  report.incarnation = kEndpoint;
  report.limit = 4;
  report.unnamed = 2;
  report.known_age = seconds(1);
  CHECK(limit.Merge("b", report, now) == LimitChange::kNone);
  report.unnamed = 1;
  CHECK(limit.Merge("c", report, now) == LimitChange::kEnded);
}

TEST_CASE("a peer that does not know the last naming does not end a limit") {
  SharedLimit limit = NamedLimit();
  const net::SteadyTime now = kStart + seconds(5);
  limit.RecordNamed(4, now - milliseconds(60), now);
  EndpointLimitReport report;
  report.limit = 4;
  report.unnamed = 4;
  report.known_age = seconds(5);
  CHECK(limit.Merge("b", report, now + milliseconds(400)) == LimitChange::kNone);
  CHECK(limit.IsActive());
}

TEST_CASE("the requests of a peer that forgot a limit and counts anew take tokens") {
  SharedLimit limit = NamedLimit();
  EndpointLimitReport report;
  report.limit = 4;
  report.sent = 300;
  report.namings = 200;
  report.known_age = seconds(60);
  limit.Merge("b", report, kStart + seconds(60));
  report.sent = 1;
  report.namings = 1;
  const net::SteadyTime now = kStart + seconds(90);
  limit.Merge("b", report, now);
  CHECK(limit.LevelAt(now) == doctest::Approx(limit.Capacity() - 1));
}

TEST_CASE("a late report of a naming does not name a limit anew that has ended") {
  SharedLimit limit = NamedLimit();
  const net::SteadyTime end = kStart + seconds(2);
  for (int answer = 0; answer < 4; ++answer) {
    limit.RecordUnnamed(end, end);
  }
  REQUIRE_FALSE(limit.IsActive());
  EndpointLimitReport report;
  report.limit = 4;
  report.namings = 1;
  report.named_age = seconds(3);
  report.known_age = seconds(3);
  CHECK(limit.Merge("b", report, end + milliseconds(500)) == LimitChange::kNone);
  report.namings = 2;
  report.named_age = milliseconds(10);
  CHECK(limit.Merge("b", report, end + milliseconds(900)) == LimitChange::kNamed);
}

TEST_CASE("the first answer without a limit allows some requests that show whether it has ended") {
  SharedLimit limit(kStart);
  limit.RecordNamed(0.2, kStart, kStart);
  limit.RecordUnnamed(kStart + seconds(1), kStart + seconds(1));
  CHECK(limit.LevelAt(kStart + seconds(1)) == doctest::Approx(3));
  limit.RecordNamed(0.2, kStart + seconds(1), kStart + seconds(2));
  limit.RecordSent(kStart + seconds(2));
  const double left = limit.LevelAt(kStart + seconds(6));
  limit.RecordUnnamed(kStart + seconds(6), kStart + seconds(6));
  CHECK(limit.LevelAt(kStart + seconds(6)) == left);
}

TEST_CASE("a limit that is named again begins with nothing and owes nothing") {
  SharedLimit limit(kStart);
  limit.RecordNamed(0.2, kStart, kStart);
  for (int request = 0; request < 4; ++request) {
    limit.RecordSent(kStart);
    limit.RecordUnnamed(kStart + seconds(1), kStart + seconds(1));
  }
  REQUIRE_FALSE(limit.IsActive());
  const net::SteadyTime again = kStart + seconds(10);
  limit.RecordNamed(0.2, again, again);
  CHECK(limit.LevelAt(again) == 0);
}

TEST_CASE("a limit that no endpoint can reach is bounded") {
  SharedLimit limit(kStart);
  limit.RecordNamed(1e300, kStart, kStart);
  CHECK(limit.Limit() <= 1e6);
}

TEST_CASE("an endpoint that takes nothing is asked now and then") {
  SharedLimit limit(kStart);
  limit.RecordNamed(0, kStart, kStart);
  CHECK(limit.IsActive());
  CHECK(limit.LevelAt(kStart + seconds(4)) < 1);
  CHECK(limit.LevelAt(kStart + seconds(30)) >= 1);
}

}  // namespace
}  // namespace lentilhead::gateway
