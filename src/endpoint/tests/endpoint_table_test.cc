#include "endpoint/internal/endpoint_table.h"

#include <doctest/doctest.h>

#include "endpoint/tests/table_fixture.h"

namespace lentilhead::endpoint::internal {

namespace {

using datastore::ListedState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kChoices = 200;

/// Table of three endpoints that have all reported; the tests drain or eject `e0`.
struct Fixture {
  explicit Fixture(const EndpointSettings& settings = TableSettings())
      : table(settings, "instance", "zone-a", 7) {
    this->table.OnList(kService, ListOf(3));
    this->ReportAll(milliseconds(0));
  }

  void ReportAll(milliseconds time) {
    for (const char* name : {"e0", "e1", "e2"}) {
      this->table.OnReport(name, ReportOf("1"), At(time));
    }
  }

  std::set<std::string> Chosen(milliseconds time, const RouteRequest& request = Request()) {
    std::set<std::string> names;
    for (int choice = 0; choice < kChoices; ++choice) {
      const auto chosen = this->table.Choose(request, At(time));
      if (chosen) {
        names.insert(chosen->name);
      }
    }
    return names;
  }

  void Fail(const std::string& name, int times, milliseconds time) {
    for (int attempt = 0; attempt < times; ++attempt) {
      this->table.OnAttemptStarted(name, At(time));
      this->table.OnAttemptEnded(name, AttemptEnd::kFailed, At(time));
    }
  }

  EndpointTable table;
};

const std::set<std::string> kAll = {"e0", "e1", "e2"};
const std::set<std::string> kRest = {"e1", "e2"};

}  // namespace

TEST_CASE("the platform's list alone stops new work to an endpoint that is leaving or unlisted") {
  Fixture fixture;
  CHECK(fixture.Chosen(seconds(1)) == kAll);
  fixture.table.OnList(kService, {Listed(0, ListedState::kLeaving), Listed(1), Listed(2)});
  CHECK(fixture.Chosen(seconds(1)) == kRest);
  CHECK_FALSE(fixture.table.CanSend("e0", At(seconds(1))));
  CHECK(fixture.table.EndpointsOf(kService).size() == 3);
  fixture.table.OnList(kService, {Listed(1), Listed(2)});
  CHECK(fixture.table.EndpointsOf(kService).size() == 2);
  CHECK_FALSE(fixture.table.CanSend("e0", At(seconds(1))));
}

TEST_CASE("an operator's drain alone stops new work until the drain ends") {
  Fixture fixture;
  fixture.table.SetDrained({"e0"});
  CHECK(fixture.Chosen(seconds(1)) == kRest);
  CHECK_FALSE(fixture.table.CanSend("e0", At(seconds(1))));
  // A later list read does not end the drain.
  fixture.table.OnList(kService, ListOf(3));
  CHECK(fixture.Chosen(seconds(2)) == kRest);
  fixture.table.SetDrained({});
  CHECK(fixture.Chosen(seconds(3)) == kAll);
}

TEST_CASE("an endpoint's refusal alone stops new work while the list lags 30 s") {
  Fixture fixture;
  fixture.table.OnAttemptStarted("e0", At(seconds(1)));
  fixture.table.OnAttemptEnded("e0", AttemptEnd::kRefusedDraining, At(seconds(1)));
  // Reports lag too: one from before the refusal still shows the endpoint as taking work.
  fixture.ReportAll(milliseconds(1'100));
  for (int second = 2; second <= 31; ++second) {
    fixture.table.OnList(kService, ListOf(3));
    LoadReport report = ReportOf("1");
    report.draining = second >= 3;
    fixture.table.OnReport("e0", report, At(seconds(second)));
    REQUIRE(fixture.Chosen(seconds(second)) == kRest);
    REQUIRE_FALSE(fixture.table.CanSend("e0", At(seconds(second))));
  }
  fixture.ReportAll(seconds(32));
  CHECK(fixture.Chosen(seconds(32)) == kAll);
}

TEST_CASE("a report of draining alone stops new work") {
  Fixture fixture;
  LoadReport report = ReportOf("1");
  report.draining = true;
  fixture.table.OnReport("e0", report, At(seconds(1)));
  CHECK(fixture.Chosen(seconds(1)) == kRest);
}

TEST_CASE("the version or role of a request alone restricts it to endpoints that report it") {
  Fixture fixture;
  fixture.table.OnReport("e1", ReportOf("2"), At(seconds(1)));
  CHECK(fixture.Chosen(seconds(1), Request("2")) == std::set<std::string>{"e1"});
  CHECK(fixture.table.CanSend("e0", Request("1"), At(seconds(1))));
  CHECK_FALSE(fixture.table.CanSend("e0", Request("2"), At(seconds(1))));
  CHECK(fixture.Chosen(seconds(1), Request("3")).empty());
  LoadReport batch = ReportOf("1");
  batch.role = "batch";
  fixture.table.OnReport("e0", batch, At(seconds(2)));
  RouteRequest online = Request("1");
  online.role = "online";
  CHECK(fixture.Chosen(seconds(2), online) == std::set<std::string>{"e2"});
  CHECK_FALSE(fixture.table.CanSend("e0", online, At(seconds(2))));
}

TEST_CASE("a failing endpoint is ejected then probed by one attempt then readmitted") {
  Fixture fixture;
  fixture.Fail("e0", 5, seconds(1));
  CHECK(fixture.table.EjectedOf(kService) == 1);
  CHECK(fixture.Chosen(seconds(10)) == kRest);
  CHECK(fixture.Chosen(seconds(11)) == kAll);
  fixture.table.OnAttemptStarted("e0", At(seconds(11)));
  CHECK(fixture.Chosen(seconds(11)) == kRest);
  fixture.table.OnAttemptEnded("e0", AttemptEnd::kFailed, At(seconds(11)));
  // The second ejection lasts twice as long.
  CHECK(fixture.Chosen(seconds(30)) == kRest);
  fixture.table.OnAttemptStarted("e0", At(seconds(31)));
  fixture.table.OnAttemptEnded("e0", AttemptEnd::kSucceeded, At(seconds(32)));
  CHECK(fixture.table.EjectedOf(kService) == 0);
  CHECK(fixture.Chosen(seconds(32)) == kAll);
}

TEST_CASE(
    "ejections stay within the maximum share and an ejected endpoint is chosen only if no other is "
    "left") {
  Fixture fixture;
  fixture.Fail("e0", 5, seconds(1));
  fixture.Fail("e1", 50, seconds(1));
  CHECK(fixture.table.EjectedOf(kService) == 1);
  CHECK(fixture.Chosen(seconds(2)) == kRest);
  RouteRequest request = Request();
  request.excluded = kRest;
  CHECK(fixture.Chosen(seconds(2), request) == std::set<std::string>{"e0"});
  // The maximum share also holds after the list becomes shorter.
  fixture.table.OnList(kService, ListOf(2));
  CHECK(fixture.table.EjectedOf(kService) == 0);
}

TEST_CASE("an endpoint that fails half of its attempts among healthy peers is an outlier") {
  Fixture fixture;
  for (int attempt = 0; attempt < 12 && fixture.table.EjectedOf(kService) == 0; ++attempt) {
    for (const char* name : {"e0", "e1", "e2"}) {
      fixture.table.OnAttemptStarted(name, At(seconds(1)));
      fixture.table.OnAttemptEnded(name, AttemptEnd::kSucceeded, At(seconds(1)));
    }
    fixture.Fail("e0", 1, seconds(1));
  }
  CHECK(fixture.Chosen(seconds(2)) == kRest);
}

TEST_CASE("an endpoint without reports is ejected and probed only after it reports again") {
  Fixture fixture;
  for (int report = 0; report < 3; ++report) {
    fixture.table.OnReportFailed("e0", At(seconds(1)));
  }
  CHECK(fixture.Chosen(seconds(2)) == kRest);
  CHECK(fixture.Chosen(seconds(60)) == kRest);
  fixture.ReportAll(seconds(61));
  CHECK(fixture.Chosen(seconds(61)) == kAll);
}

TEST_CASE("attempts that started after the time a report describes are added to its load") {
  Fixture fixture;
  fixture.table.OnAttemptStarted("e0", At(milliseconds(1'000)));
  fixture.table.OnAttemptStarted("e0", At(milliseconds(1'900)));
  // The report, requested at 2 s, shows the load at 1.8 s: one own attempt and two of others.
  fixture.table.OnReport("e0", ReportOf("1", 3), At(milliseconds(2'000)));
  CHECK(fixture.table.Find("e0")->load.Requests() == 4);
  fixture.table.OnAttemptEnded("e0", AttemptEnd::kSucceeded, At(milliseconds(2'100)));
  CHECK(fixture.table.Find("e0")->load.Requests() == 3);
  CHECK(fixture.table.LoadOf(kService, At(milliseconds(2'100))).used == 3);
  CHECK(fixture.table.LoadOf(kService, At(milliseconds(2'100))).slots == 24);
}

TEST_CASE("requests with the same prefix go to one endpoint while its load is within the bound") {
  Fixture fixture;
  RouteRequest request = Request();
  request.prefix_hash = 42;
  const std::set<std::string> preferred = fixture.Chosen(seconds(1), request);
  REQUIRE(preferred.size() == 1);
  for (int attempt = 0; attempt < 8; ++attempt) {
    fixture.table.OnAttemptStarted(*preferred.begin(), At(seconds(1)));
  }
  CHECK_FALSE(fixture.Chosen(seconds(1), request).contains(*preferred.begin()));
}

TEST_CASE("a choice considers only the subset for any number of listed endpoints") {
  for (const int endpoints : {16, 740}) {
    EndpointTable table(TableSettings(), "instance", "zone-a", 7);
    table.OnList(kService, ListOf(endpoints));
    std::set<std::string> chosen;
    for (int choice = 0; choice < kChoices; ++choice) {
      chosen.insert(table.Choose(Request(), At(seconds(1)))->name);
    }
    CHECK(chosen.size() == 12);
    CHECK(table.Watched().size() == 12);
  }
}

TEST_CASE("only endpoints in allowed zones are chosen") {
  Fixture fixture;
  RouteRequest request = Request();
  request.zones = {"zone-b"};
  CHECK(fixture.Chosen(seconds(1), request) == std::set<std::string>{"e1"});
  CHECK_FALSE(fixture.table.CanSend("e0", request, At(seconds(1))));
}

}  // namespace lentilhead::endpoint::internal
