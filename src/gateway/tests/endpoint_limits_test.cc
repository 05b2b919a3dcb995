#include "gateway/endpoint_limits.h"

#include <doctest/doctest.h>

namespace lentilhead::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr net::SteadyTime kStart{std::chrono::hours(1)};
constexpr std::uint32_t kEndpoint = 7;
constexpr std::uint32_t kService = 3;

/// Limits of a node that knows one of 4 requests per second and had requests for 2 s.
class Fixture {
 public:
  Fixture() {
    this->limits.RecordAnswer(kEndpoint, LimitNamed{4}, kStart, kStart);
    this->Ask(40);
  }

  void Ask(int requests) {
    for (int number = 0; number < requests; ++number) {
      this->limits.Demand().RecordRequest(kService, this->now);
    }
  }

  /// Hears a peer that asks as much as this node.
  void HearPeer(const std::string& name) {
    this->limits.Merge(name, name + "#1", false, this->limits.Report(Scope::kChanges, this->now),
                       this->now);
  }

  [[nodiscard]] double OwnRate() const {
    return this->limits.OwnRate(kEndpoint, kService, this->now).value_or(0);
  }

  using Scope = EndpointLimits::Scope;
  EndpointLimits limits{1};
  net::SteadyTime now = kStart + seconds(2);
};

TEST_CASE("endpoints without a limit are not held back") {
  Fixture fixture;
  CHECK(fixture.limits.MaySend(99, kService, WorkClass::kBatch, fixture.now));
  CHECK_FALSE(fixture.limits.OwnRate(99, kService, fixture.now));
  CHECK(fixture.limits.IsLimited(kEndpoint));
}

TEST_CASE("a limit that is no number changes nothing") {
  Fixture fixture;
  CHECK(fixture.limits.RecordAnswer(kEndpoint, LimitUnreadable{}, fixture.now, fixture.now) ==
        LimitChange::kNone);
  CHECK(fixture.limits.RecordAnswer(99, LimitUnreadable{}, fixture.now, fixture.now) ==
        LimitChange::kNone);
  CHECK(fixture.limits.LimitedCount() == 1);
}

TEST_CASE("a node that is alone may use all of a limit") {
  Fixture fixture;
  CHECK(fixture.OwnRate() == doctest::Approx(4));
  int sent = 0;
  for (const net::SteadyTime end = fixture.now + seconds(10); fixture.now < end;
       fixture.now += milliseconds(10)) {
    fixture.Ask(1);
    if (fixture.limits.MaySend(kEndpoint, kService, WorkClass::kOnline, fixture.now)) {
      fixture.limits.RecordSent(kEndpoint, fixture.now);
      ++sent;
    }
  }
  CHECK(sent >= 40);
  CHECK(sent <= 44);
}

TEST_CASE("the limit is shared with the peers by what they ask") {
  Fixture fixture;
  fixture.HearPeer("b");
  CHECK(fixture.OwnRate() == doctest::Approx(2).epsilon(0.05));
  fixture.HearPeer("c");
  CHECK(fixture.OwnRate() == doctest::Approx(4.0 / 3).epsilon(0.05));
}

TEST_CASE("a node that no longer hears its peers keeps to its share") {
  Fixture fixture;
  fixture.HearPeer("b");
  fixture.HearPeer("c");
  fixture.now += seconds(5);
  fixture.limits.Prune(fixture.now);
  fixture.Ask(33);  // as much as its peers asked when they were heard
  CHECK(fixture.OwnRate() == doctest::Approx(4.0 / 3).epsilon(0.1));
  fixture.now += seconds(30);
  fixture.limits.Prune(fixture.now);
  CHECK(fixture.OwnRate() == doctest::Approx(4));
}

TEST_CASE("the share of a node that left is free at once") {
  Fixture fixture;
  fixture.HearPeer("b");
  fixture.limits.Merge("b", "b#1", true, fixture.limits.Report(Fixture::Scope::kAll, fixture.now),
                       fixture.now);
  fixture.now += seconds(1);
  fixture.limits.Prune(fixture.now);
  CHECK(fixture.OwnRate() == doctest::Approx(4));
}

TEST_CASE("a node that starts learns limits from a peer and begins with nothing") {
  Fixture fixture;
  for (int number = 0; number < 20; ++number) {
    fixture.limits.RecordSent(kEndpoint, fixture.now);
  }
  EndpointLimits started(2);
  const auto changes = started.Merge(
      "a", "a#1", false, fixture.limits.Report(Fixture::Scope::kAll, fixture.now), fixture.now);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].second == LimitChange::kNamed);
  CHECK(started.LimitOf(kEndpoint) == 4);
  started.Demand().RecordRequest(kService, fixture.now);
  CHECK_FALSE(started.MaySend(kEndpoint, kService, WorkClass::kOnline, fixture.now));
  CHECK(started.MaySend(kEndpoint, kService, WorkClass::kOnline, fixture.now + seconds(2)));
}

TEST_CASE("groups that use one endpoint divide its limit") {
  Fixture fixture;
  fixture.limits.SetSharedBy(kEndpoint, 4);
  CHECK(fixture.OwnRate() == doctest::Approx(1));
}

TEST_CASE("a report has what changed, and all for a new peer") {
  Fixture fixture;
  fixture.limits.NoteReportSent(fixture.now);
  CHECK(fixture.limits.Report(Fixture::Scope::kChanges, fixture.now).endpoints.empty());
  CHECK(fixture.limits.Report(Fixture::Scope::kRecent, fixture.now).endpoints.size() == 1);
  fixture.now += seconds(10);
  CHECK(fixture.limits.Report(Fixture::Scope::kRecent, fixture.now).endpoints.empty());
  CHECK(fixture.limits.Report(Fixture::Scope::kAll, fixture.now).endpoints.size() == 1);
}

TEST_CASE("batch requests leave a part of the limit to online requests") {
  Fixture fixture;
  fixture.limits.RecordSent(kEndpoint, fixture.now);
  fixture.limits.RecordSent(kEndpoint, fixture.now);
  fixture.now += milliseconds(100);
  CHECK_FALSE(fixture.limits.MaySend(kEndpoint, kService, WorkClass::kBatch, fixture.now));
  fixture.now += milliseconds(50);
  CHECK(fixture.limits.MaySend(kEndpoint, kService, WorkClass::kOnline, fixture.now));
}

}  // namespace
}  // namespace lentilhead::gateway
