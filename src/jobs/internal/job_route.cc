#include "jobs/job_route.h"

namespace lentilhead::jobs {

RouteState JobRoute::StateOf(const gateway::RouteTable& routes, const Claim& claim,
                             const std::string& path) {
  if (routes.Config() == nullptr) {
    return RouteState::kUnknown;
  }
  const gateway::Route* route = routes.Match(claim.host, path);
  const bool exists = route != nullptr && route->kind == gateway::RouteKind::kBatch;
  return exists ? RouteState::kPresent : RouteState::kMissing;
}

}  // namespace lentilhead::jobs
