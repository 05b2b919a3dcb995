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

/// A job of the route with this prefix.
Claim ClaimOf(const std::string& prefix) {
  Claim claim = ClaimOfJob();
  claim.route = kHost + prefix;
  return claim;
}

void AddRoute(gateway::ServingConfig& config, const std::string& prefix, gateway::RouteKind kind) {
  gateway::Route route;
  route.host = kHost;
  route.path_prefix = prefix;
  route.kind = kind;
  config.routes.push_back(std::move(route));
}

std::shared_ptr<const gateway::ServingConfig> ConfigOf(std::int64_t version,
                                                       gateway::RouteKind kind) {
  auto config = std::make_shared<gateway::ServingConfig>();
  config->version = version;
  AddRoute(*config, "/batch/", kind);
  return config;
}

RouteState StateOf(const gateway::RouteTable& routes, const Claim& claim,
                   const std::string& path = kPath) {
  return JobRoute::StateOf(routes, claim, JobRoute::Find(routes, claim, path));
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

// Guards against items that are given up, or run by another service, because of a route that is
// added below the prefix of their job's route.
TEST_CASE("a job keeps its route while another one takes the path of its items") {
  for (const gateway::RouteKind kind : {gateway::RouteKind::kStream, gateway::RouteKind::kBatch}) {
    auto config =
        std::make_shared<gateway::ServingConfig>(*ConfigOf(1, gateway::RouteKind::kBatch));
    AddRoute(*config, "/batch/x/", kind);
    gateway::RouteTable routes;
    routes.Adopt(config);
    const gateway::Route* found = JobRoute::Find(routes, ClaimOf("/batch/"), "/batch/x/1");
    REQUIRE(found != nullptr);
    CHECK(found->path_prefix == "/batch/");
    CHECK(JobRoute::StateOf(routes, ClaimOf("/batch/"), found) == RouteState::kPresent);
  }
}

// Guards against jobs that stay open for ever, or are run by a route that they were not sent to.
TEST_CASE("a job whose route is removed has no route, unless a batch route covers its prefix") {
  gateway::RouteTable routes;
  routes.Adopt(ConfigOf(1, gateway::RouteKind::kBatch));
  CHECK(StateOf(routes, ClaimOf("/other/"), kPath) == RouteState::kMissing);
  CHECK(StateOf(routes, ClaimOf("/batch/x/"), "/other/1") == RouteState::kPresent);
  CHECK(StateOf(routes, ClaimOf("/"), kPath) == RouteState::kMissing);
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
