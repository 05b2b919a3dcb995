#include "jobs/job_route.h"

namespace lentilhead::jobs {

RouteState JobRoute::StateOf(const gateway::RouteTable& routes, const Claim& claim,
                             const gateway::Route* matched) {
  if (matched != nullptr && matched->kind == gateway::RouteKind::kBatch) {
    return RouteState::kPresent;
  }
  const bool may_be_added_later =
      routes.Config() == nullptr || routes.Version() < claim.config_version;
  return may_be_added_later ? RouteState::kUnknown : RouteState::kMissing;
}

}  // namespace lentilhead::jobs
