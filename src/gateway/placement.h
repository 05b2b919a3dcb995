#pragma once

#include <cstddef>
#include <vector>

namespace lentilhead::gateway {

/// An endpoint that may be chosen for a request.
struct PlacementCandidate {
  double fill = 0;   ///< estimated load per slot, raised for slow endpoints
  double slots = 1;  ///< requests that the endpoint runs concurrently
};

/// Chooses endpoints for requests by load figures that are some time old.
///
/// A node does not see the requests that its peers sent after their last load message. If every
/// node chose the least loaded endpoint, all nodes would choose the same one until the next
/// messages. A burst would fill the queues of a few endpoints while others have free slots.
///
/// Therefore the estimated number of unseen requests is distributed over the candidates by
/// water-filling, which raises the least filled candidates to a common fill. A candidate is chosen
/// with a probability proportional to the number of unseen requests that it receives.
class Placement {
 public:
  /// Chooses an endpoint.
  /// @param candidates at least one.
  /// @param unseen estimated number of requests of other nodes that the loads do not include yet.
  ///   At 0 the least filled candidate is chosen; at a large number candidates are chosen
  ///   about in proportion to their slots.
  /// @param draw random number from 0 up to, but not including, 1.
  /// @return index of a candidate.
  [[nodiscard]] static std::size_t Choose(const std::vector<PlacementCandidate>& candidates,
                                          double unseen, double draw);
};

}  // namespace lentilhead::gateway
