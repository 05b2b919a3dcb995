#pragma once

#include <cstddef>

namespace lentilhead::jobs {

/// Decides whether the node that accepts a job also runs it. Answers batch jobs that arrive
/// unevenly over the groups of a large fleet: a job that would only wait here is left to the group
/// that ranks first for it, so that jobs spread over all endpoints. Reads no clock.
class NewJobPlacement {
 public:
  /// @param waiting_items items that wait at this node already.
  /// @param group_slots slots of the endpoints of this node's group.
  /// @param group_nodes nodes of the group.
  [[nodiscard]] static bool RunsHere(std::size_t waiting_items, std::size_t group_slots,
                                     std::size_t group_nodes, std::size_t groups);
};

}  // namespace lentilhead::jobs
