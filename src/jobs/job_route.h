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
  /// Returns the route that a job was submitted to, whatever the paths of its items: a route that
  /// is added below its prefix does not concern the job. Once the route is removed, one that covers
  /// its prefix takes its place.
  /// @param item_path path of one of its items, used for claims of versions that name no route.
  /// @return null if there is none; the route may be of another kind.
  [[nodiscard]] static const gateway::Route* Find(const gateway::RouteTable& routes,
                                                  const Claim& claim, const std::string& item_path);

  /// Returns the state of a job's route.
  /// @param found as Find() returns it.
  [[nodiscard]] static RouteState StateOf(const gateway::RouteTable& routes, const Claim& claim,
                                          const gateway::Route* found);
};

}  // namespace lentilhead::jobs
