#include "endpoint/endpoint_directory.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "standin/engine/engine_server.h"
#include "standin/engine/repeating_server.h"
#include "standin/platform/platform_fixture.h"

namespace lentilhead::endpoint {

namespace {

using std::chrono::milliseconds;

constexpr int kMaxTurns = 1'000'000;
constexpr const char* kService = "profiles";

EndpointSettings DirectorySettings() {
  EndpointSettings settings;
  settings.services.push_back({.name = kService});
  settings.report_period = milliseconds(10);
  settings.list_period = milliseconds(50);
  settings.reports_per_second = 1'000;
  settings.report_lag = milliseconds(5);
  settings.max_ejected_share = 0.5;
  return settings;
}

standin::EngineOptions Engine(const std::string& version) {
  return {.service = kService, .report_lag = milliseconds(5), .version = version};
}

/// Two engines that the platform lists, and a directory that polls them.
struct Fixture {
  explicit Fixture(milliseconds list_lag = milliseconds(0)) : platform({.list_lag = list_lag}) {
    for (const char* name : {"first", "second"}) {
      auto& engine = this->engines[name];
      const std::string version = this->engines.size() == 1 ? "1" : "2";
      engine = std::make_unique<standin::EngineServer>(Engine(version), *this->platform.timers);
      REQUIRE(engine->Listen());
      this->List(name, standin::ListState::kLive);
    }
  }

  void List(const std::string& name, standin::ListState state) {
    const std::string port = std::to_string(this->engines.at(name)->Port());
    this->platform.server.ChangeList(kService, {name, "127.0.0.1:" + port, "zone-a", state});
  }

  void Start() {
    this->directory.Start();
    REQUIRE(standin::PlatformFixture::RunUntil([this] {
      return this->directory.ReportOf("first") && this->directory.ReportOf("second");
    }));
  }

  bool RunUntil(const std::function<bool()>& condition) {
    return standin::PlatformFixture::RunUntil(condition);
  }

  std::uint64_t Count(const std::string& metric) {
    return this->platform.metrics.GetCounter(metric).Value();
  }

  std::string Chosen(const std::string& version) {
    const auto chosen =
        this->directory.Choose({.service = kService, .model = "model", .version = version});
    return chosen ? chosen->name : "";
  }

  standin::PlatformFixture platform;
  std::map<std::string, std::unique_ptr<standin::EngineServer>> engines;
  datastore::InstanceListClient list{this->platform.settings, this->platform.http};
  EndpointDirectory directory{DirectorySettings(),
                              "instance",
                              "zone-a",
                              this->list,
                              this->platform.http,
                              *this->platform.timers,
                              this->platform.metrics};
};

}  // namespace

TEST_CASE("requests go to the endpoint that reports their version") {
  Fixture fixture;
  fixture.Start();
  CHECK(fixture.Chosen("1") == "first");
  CHECK(fixture.Chosen("2") == "second");
  CHECK(fixture.Chosen("3").empty());
}

TEST_CASE("the report before, sent again late, is not taken for the next report") {
  Fixture fixture;
  int asked = 0;
  standin::RepeatingServer endpoint([&](const std::string&, const std::string&) {
    asked += 1;
    return "{\"running\":" + std::to_string(asked) + ",\"waiting\":0,\"slots\":8}";
  });
  fixture.platform.server.ChangeList(
      kService, {"repeating", endpoint.Address(), "zone-a", standin::ListState::kLive});
  fixture.Start();
  std::set<int> reported;
  REQUIRE(fixture.RunUntil([&] {
    const std::optional<LoadReport> report = fixture.directory.ReportOf("repeating");
    if (report) {
      reported.insert(report->running);
    }
    return asked == 6;
  }));
  CHECK(reported == std::set<int>{1, 2, 3, 4, 5});
}

TEST_CASE("a report of draining stops new work although the list shows the endpoint as live") {
  Fixture fixture;
  fixture.Start();
  const std::string address = fixture.directory.EndpointsOf(kService).at(0).address;
  bool ordered = false;
  const auto call =
      fixture.platform.http.Send({.method = "POST",
                                  .url = "http://" + address + "/admin/drain",
                                  .content_type = "application/json",
                                  .body = R"({"fencing_token":1})"},
                                 [&](const auto& reply) { ordered = reply.HasValue(); });
  CHECK(fixture.RunUntil([&] { return ordered; }));
  CHECK(fixture.RunUntil([&] { return !fixture.directory.CanSend("first"); }));
  CHECK(fixture.Chosen("1").empty());
  CHECK(fixture.directory.EndpointsOf(kService).size() == 2);
}

TEST_CASE("an endpoint listed as leaving gets no new work and is removed when unlisted") {
  Fixture fixture;
  fixture.Start();
  fixture.List("second", standin::ListState::kLeaving);
  CHECK(fixture.RunUntil([&] { return !fixture.directory.CanSend("second"); }));
  CHECK(fixture.directory.EndpointsOf(kService).size() == 2);
  fixture.List("second", standin::ListState::kRemoved);
  CHECK(fixture.RunUntil([&] { return fixture.directory.EndpointsOf(kService).size() == 1; }));
}

TEST_CASE("the last list stays in use while the platform is down") {
  Fixture fixture;
  fixture.Start();
  fixture.platform.server.SetFault(standin::FaultTarget::kList, {.down = true});
  CHECK(fixture.RunUntil([&] { return fixture.Count("endpoint_list_failures_total") >= 3; }));
  CHECK(fixture.Chosen("1") == "first");
}

TEST_CASE("a crashed endpoint is ejected because its reports fail") {
  Fixture fixture;
  fixture.Start();
  fixture.engines.at("first").reset();
  const auto gauge = [&] {
    return fixture.platform.metrics.GetGauge("endpoints_ejected", {{"service", kService}}).Value();
  };
  CHECK(fixture.RunUntil([&] { return gauge() == 1; }));
  const auto chosen = fixture.directory.Choose({.service = kService});
  REQUIRE(chosen);
  CHECK(chosen->name == "second");
}

}  // namespace lentilhead::endpoint
