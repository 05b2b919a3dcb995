#include "gateway/route_table.h"

#include <doctest/doctest.h>

namespace lentilhead::gateway {
namespace {

Route MakeRoute(const std::string& name, const std::string& host, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{"svc", 1}};
  return route;
}

std::shared_ptr<const ServingConfig> MakeConfig(std::int64_t version, std::vector<Route> routes) {
  auto config = std::make_shared<ServingConfig>();
  config->version = version;
  config->routes = std::move(routes);
  return config;
}

TEST_CASE("a request matches the longest path prefix of its host") {
  RouteTable table;
  REQUIRE(
      table.Adopt(MakeConfig(3, {MakeRoute("short", "a", "/x/"), MakeRoute("long", "a", "/x/y/"),
                                 MakeRoute("other", "b", "/x/y/z/")})));
  CHECK(table.Match("a", "/x/y/z/1")->name == "long");
  CHECK(table.Match("a", "/x/1")->name == "short");
  CHECK(table.Match("b", "/x/y/z/1")->name == "other");
  CHECK(table.Match("b", "/x/1") == nullptr);
  CHECK(table.Match("c", "/x/1") == nullptr);
}

TEST_CASE("a version that is not newer is rejected") {
  RouteTable table;
  CHECK(table.Version() == -1);
  REQUIRE(table.Adopt(MakeConfig(7, {MakeRoute("new", "a", "/x/")})));
  CHECK_FALSE(table.Adopt(MakeConfig(7, {})));
  CHECK_FALSE(table.Adopt(MakeConfig(6, {})));
  CHECK(table.Version() == 7);
  CHECK(table.Match("a", "/x/1") != nullptr);
}

TEST_CASE("services are picked in proportion to their weights") {
  Route route = MakeRoute("split", "a", "/");
  route.services = {{"most", 90}, {"few", 10}};
  CHECK(RouteTable::PickService(route, 0) == "most");
  CHECK(RouteTable::PickService(route, 0.89) == "most");
  CHECK(RouteTable::PickService(route, 0.91) == "few");
  route.services.clear();
  CHECK(RouteTable::PickService(route, 0.5).empty());
}

}  // namespace
}  // namespace lentilhead::gateway
