#pragma once

#include "gateway/route_table.h"
#include "jobs/types/claim.h"
#include "jobs/types/route_state.h"

namespace lentilhead::jobs {

/// Tells a removed route from one that a node cannot know of. Answers losses of many nodes while
/// the store does not serve the configuration: a new process owns jobs before it has read any.
class JobRoute {
 public:
  /// Returns the state of the route of a job's item.
  /// @param matched route that the table has for the item; null if it has none.
  [[nodiscard]] static RouteState StateOf(const gateway::RouteTable& routes, const Claim& claim,
                                          const gateway::Route* matched);
};

}  // namespace lentilhead::jobs
