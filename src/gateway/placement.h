#pragma once

#include <cstddef>
#include <vector>

namespace lentilhead::gateway {

/// An endpoint that could take a request.
struct PlacementCandidate {
  double fill = 0;   ///< work there per place, as far as it is known
  double slots = 1;  ///< requests that it runs at once
};

/// Spreads requests over endpoints whose known load is old.
///
/// Between two messages of a peer, its requests are not seen. Were the least loaded endpoint chosen
/// each time, all nodes would choose the same one for as long as it takes to hear of each other: on
/// a burst over many nodes a few endpoints got queues while others had room. So the requests that
/// are not seen yet are thought to be poured over the endpoints like water over uneven ground, and
/// each endpoint is chosen as often as water would come to stand on it.
class Placement {
 public:
  /// Chooses an endpoint.
  /// @param candidates at least one.
  /// @param unseen requests of other nodes that the known loads lack; at 0 the least filled
  ///   candidate is chosen, at many every candidate about equally often.
  /// @param draw random number from 0 up to, but not including, 1.
  /// @return index of a candidate.
  [[nodiscard]] static std::size_t Choose(const std::vector<PlacementCandidate>& candidates,
                                          double unseen, double draw);
};

}  // namespace lentilhead::gateway
