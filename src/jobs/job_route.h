#pragma once

#include <string>

#include "gateway/route_table.h"
#include "jobs/types/claim.h"
#include "jobs/types/route_state.h"

namespace lentilhead::jobs {

/// Tells a removed route from one that a node cannot know of. Answers losses of many nodes while
/// the store does not serve the configuration: a new process owns jobs before it has read any.
class JobRoute {
 public:
  /// Returns the state of the route that the items of a job are sent by.
  /// @param claim claim of the job.
  /// @param path path of the item.
  [[nodiscard]] static RouteState StateOf(const gateway::RouteTable& routes, const Claim& claim,
                                          const std::string& path);
};

}  // namespace lentilhead::jobs
