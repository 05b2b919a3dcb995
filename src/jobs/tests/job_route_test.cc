#include "jobs/job_route.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

namespace lentilhead::jobs {
namespace {

constexpr char kHost[] = "h";
constexpr char kPath[] = "/batch/x";

Claim ClaimOfJob() {
  Claim claim;
  claim.job = "job";
  claim.host = kHost;
  return claim;
}

std::shared_ptr<const gateway::ServingConfig> ConfigOf(std::int64_t version,
                                                       gateway::RouteKind kind) {
  gateway::Route route;
  route.host = kHost;
  route.path_prefix = "/batch/";
  route.kind = kind;
  auto config = std::make_shared<gateway::ServingConfig>();
  config->version = version;
  config->routes.push_back(std::move(route));
  return config;
}

RouteState StateOf(const gateway::RouteTable& routes, const Claim& claim,
                   const std::string& path = kPath) {
  return JobRoute::StateOf(routes, claim, routes.Match(claim.host, path));
}

// Guards against items that are given up because a node has never read a configuration.
TEST_CASE("the route of a job is unknown until a configuration has been read") {
  const gateway::RouteTable routes;
  CHECK(StateOf(routes, ClaimOfJob()) == RouteState::kUnknown);
}

TEST_CASE("a route for batch jobs is present, any other is missing") {
  gateway::RouteTable routes;
  routes.Adopt(ConfigOf(1, gateway::RouteKind::kBatch));
  CHECK(StateOf(routes, ClaimOfJob()) == RouteState::kPresent);
  CHECK(StateOf(routes, ClaimOfJob(), "/other/x") == RouteState::kMissing);
  routes.Adopt(ConfigOf(2, gateway::RouteKind::kIdempotent));
  CHECK(StateOf(routes, ClaimOfJob()) == RouteState::kMissing);
}

// Guards against items that are given up by a node whose configuration is older than the job's
// route.
TEST_CASE("a route is unknown to a configuration older than the one that the job was accepted by") {
  gateway::RouteTable routes;
  routes.Adopt(ConfigOf(4, gateway::RouteKind::kIdempotent));
  Claim claim = ClaimOfJob();
  claim.config_version = 5;
  CHECK(StateOf(routes, claim) == RouteState::kUnknown);
  routes.Adopt(ConfigOf(5, gateway::RouteKind::kIdempotent));
  CHECK(StateOf(routes, claim) == RouteState::kMissing);
  claim.config_version = 6;
  routes.Adopt(ConfigOf(6, gateway::RouteKind::kBatch));
  CHECK(StateOf(routes, claim) == RouteState::kPresent);
}

}  // namespace
}  // namespace lentilhead::jobs
