#pragma once

#include <vector>

#include "placement/types/work_candidate.h"

namespace lentilhead::placement {

/// Chooses endpoints by the expected time to the first event.
///
/// This time is the one in a free slot, plus the wait for a slot. As the number of requests in
/// flight is known only roughly, the expected wait grows smoothly from some requests before the
/// last free slot. As in gateway::Placement, the requests that other nodes may have sent unseen are
/// distributed over the endpoints so that the expected time is the same at all that get some, and
/// an endpoint is chosen with a probability proportional to the requests that it would get.
class WorkPlacement {
 public:
  /// Expected time to the first event of one more request.
  [[nodiscard]] static double Expected(const WorkCandidate& candidate);

  /// Requests that the endpoint can take until the expected time reaches a level.
  [[nodiscard]] static double Room(const WorkCandidate& candidate, double level_ms);

  /// Expected time up to which a number of requests raises the endpoints with the shortest ones.
  [[nodiscard]] static double Level(const std::vector<WorkCandidate>& candidates, double unseen);

  /// Chooses an endpoint.
  /// @param candidates at least one. @param unseen requests of other nodes not known yet.
  /// @param draw random number from 0 up to, but not including, 1.
  /// @return index of a candidate.
  [[nodiscard]] static std::size_t Choose(const std::vector<WorkCandidate>& candidates,
                                          double unseen, double draw);
};

}  // namespace lentilhead::placement
