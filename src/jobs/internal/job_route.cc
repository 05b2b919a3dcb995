#include "jobs/job_route.h"

namespace lentilhead::jobs {

const gateway::Route* JobRoute::Find(const gateway::RouteTable& routes, const Claim& claim,
                                     const std::string& item_path) {
  const bool has_prefix =
      claim.route.size() > claim.host.size() && claim.route.starts_with(claim.host);
  return routes.Match(claim.host, has_prefix ? claim.route.substr(claim.host.size()) : item_path);
}

RouteState JobRoute::StateOf(const gateway::RouteTable& routes, const Claim& claim,
                             const gateway::Route* found) {
  if (found != nullptr && found->kind == gateway::RouteKind::kBatch) {
    return RouteState::kPresent;
  }
  const bool may_be_added_later =
      routes.Config() == nullptr || routes.Version() < claim.config_version;
  return may_be_added_later ? RouteState::kUnknown : RouteState::kMissing;
}

}  // namespace lentilhead::jobs
