#include "fleet/fleet_module.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "fleet/fleet_follower.h"
#include "framework/http_server.h"
#include "framework/json_rpc_server.h"
#include "sheet/sheet_parser.h"
#include "standin/platform/platform_fixture.h"

namespace lentilhead::fleet {

namespace {

using standin::FaultTarget;
using standin::PlatformFixture;

constexpr char kCsv[] =
    "service,model,version,adapter,capacity,zones,roles,window\nprofiles,writer,1,,2,,,\n";
constexpr std::chrono::milliseconds kPeriod{20};

/// One instance of the fleet with its own listener, on the main context of the test.
struct Instance {
  Instance(PlatformFixture& platform, const std::string& name)
      : http(*platform.timers),
        table(platform.settings, http, metrics),
        objects(platform.settings, http, metrics),
        writer(name, table, budget, *platform.timers, metrics),
        list(platform.settings, http),
        sheets(table, objects, writer) {
    const framework::Result<std::uint16_t> listening = this->server.Listen();
    REQUIRE(listening);
    this->settings.name = name;
    this->settings.zone = "a";
    this->settings.peer_address = "127.0.0.1:" + std::to_string(listening.value());
    this->settings.batch_address = this->settings.peer_address;
    this->settings.operator_address = this->settings.peer_address;
    this->settings.heartbeat_period = kPeriod;
    this->settings.sheet_poll_period = kPeriod;
    this->settings.list_period = kPeriod;
    this->settings.follow_period = kPeriod;
    this->module = std::make_unique<FleetModule>(
        this->settings, FleetModule::Dependencies{http, *platform.timers, metrics, table, writer,
                                                  list, sheets, sheet});
    this->module->RegisterProcedures(this->rpc);
    this->rpc.Register(this->router, "/rpc");
    platform.server.ChangeList("lentilhead", {name, this->settings.peer_address, "a"});
    this->module->Start();
  }

  FleetSettings settings;
  framework::Metrics metrics;
  framework::HttpRouter router;
  framework::JsonRpcServer rpc;
  framework::HttpServer server{framework::HttpServerSettings{}, router, metrics};
  framework::HttpClient http;
  datastore::TableClient table;
  datastore::ObjectStoreClient objects;
  datastore::WriteBudget budget{1'000};
  datastore::ResolvedWriter writer;
  datastore::InstanceListClient list;
  sheet::SheetStore sheets;
  sheet::SheetInForce sheet;
  std::unique_ptr<FleetModule> module;
};

void Submit(Instance& instance, std::uint64_t expected) {
  bool done = false;
  instance.sheets.Submit(kCsv, sheet::ParseSheet(kCsv).value(), expected, "operator",
                         [&](auto reply) {
                           REQUIRE(reply);
                           instance.sheet.Offer(reply.Value());
                           done = true;
                         });
  REQUIRE(PlatformFixture::RunUntil([&] { return done; }));
}

}  // namespace

TEST_CASE("instances discover each other and replicate the sheet and the drains") {
  PlatformFixture platform;
  Instance first(platform, "first");
  Instance second(platform, "second");
  REQUIRE(PlatformFixture::RunUntil([&] {
    return first.module->View().OwnerNames().size() == 2 &&
           second.module->View().OwnerNames().size() == 2;
  }));
  CHECK_FALSE(second.module->IsReady());
  Submit(first, 0);
  REQUIRE(PlatformFixture::RunUntil([&] { return second.sheet.CurrentRevision() == 1; }));
  REQUIRE(PlatformFixture::RunUntil([&] { return second.module->IsReady(); }));

  sheet::SheetInForce followed;
  FleetFollower follower(second.settings, "batch", platform.http, *platform.timers, followed);
  REQUIRE(PlatformFixture::RunUntil(
      [&] { return followed.CurrentRevision() == 1 && follower.View().OwnerNames().size() == 2; }));

  std::optional<DrainState> stored;
  first.module->ChangeDrain({DrainTarget::kEndpoint, "runner-1", true, "operator"},
                            [&](auto reply) { stored = reply.Value(); });
  REQUIRE(PlatformFixture::RunUntil([&] { return follower.DrainedEndpoints().size() == 1; }));
  CHECK(stored->revision == 1);
  CHECK(second.module->Drains() == *stored);

  first.module->ChangeDrain({DrainTarget::kInstance, "second", true, "operator"},
                            [](const auto&) {});
  REQUIRE(PlatformFixture::RunUntil([&] { return !second.module->IsReady(); }));
  REQUIRE(PlatformFixture::RunUntil([&] { return first.module->View().OwnerNames().size() == 1; }));
  first.module->ChangeDrain({DrainTarget::kInstance, "second", false, "operator"},
                            [](const auto&) {});
  REQUIRE(PlatformFixture::RunUntil([&] { return first.module->View().OwnerNames().size() == 2; }));

  std::optional<std::vector<InstanceStatus>> statuses;
  first.module->FetchStatus([&](auto found) { statuses = std::move(found); });
  REQUIRE(PlatformFixture::RunUntil([&] { return statuses.has_value(); }));
  CHECK(statuses->size() == 2);
  CHECK((*statuses)[1].answered);
  CHECK((*statuses)[1].instance.sheet_revision == 1);
}

TEST_CASE("an instance owns batch work only while its batch process runs") {
  PlatformFixture platform;
  Instance first(platform, "first");
  Instance second(platform, "second");
  sheet::SheetInForce followed;
  auto batch = std::make_unique<FleetFollower>(second.settings, "batch", platform.http,
                                               *platform.timers, followed);
  const FleetFollower controller(first.settings, "controller", platform.http, *platform.timers,
                                 followed);
  REQUIRE(PlatformFixture::RunUntil([&] {
    return first.module->View().BatchOwnerNames() == std::vector<std::string>{"second"};
  }));
  CHECK(first.module->View().BatchOwnerOf("any key") == "second");
  batch.reset();
  REQUIRE(
      PlatformFixture::RunUntil([&] { return first.module->View().BatchOwnerNames().empty(); }));
  CHECK(first.module->View().OwnerNames().size() == 2);
}

TEST_CASE("a new instance fetches the sheet from a peer while the store is down") {
  PlatformFixture platform;
  Instance first(platform, "first");
  Submit(first, 0);
  platform.server.SetFault(FaultTarget::kTable, {.down = true});
  platform.server.SetFault(FaultTarget::kObjects, {.down = true});
  Instance fresh(platform, "fresh");
  REQUIRE(PlatformFixture::RunUntil([&] { return fresh.module->IsReady(); }));
  CHECK(fresh.sheet.CurrentRevision() == 1);
  bool refused = false;
  first.module->ChangeDrain(
      {DrainTarget::kEndpoint, "runner-1", true, "operator"}, [&](const auto& reply) {
        refused = !reply && reply.Error().kind == DrainErrorKind::kUnavailable;
      });
  REQUIRE(PlatformFixture::RunUntil([&] { return refused; }));
}

}  // namespace lentilhead::fleet
