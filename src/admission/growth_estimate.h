#pragma once

#include <deque>

#include "net/http_types.h"

namespace lentilhead::admission {

/// Estimates the slots that other nodes took and that this node has not heard of yet.
///
/// When callers return together, all nodes see the same free slots and each would take them all
/// before it hears of the others. Requests are spread over the nodes, so what this node took within
/// the time that news need, beyond random variation, each of the others is taken to have taken.
class GrowthEstimate {
 public:
  /// Records how many slots this node uses, after each change.
  void Record(int own, net::SteadyTime now);

  /// Slots that the other nodes are estimated to have taken unseen.
  /// @param nodes number of nodes, this one included.
  /// @param is_filling whether a large part of the slots was free until a moment ago: shorter spans
  ///   count then, too, in which a burst stands out from random variation sooner.
  [[nodiscard]] double Unseen(std::size_t nodes, net::SteadyTime now, bool is_filling) const;

 private:
  /// The number of slots that this node took in a span, less what random variation explains.
  [[nodiscard]] double GrowthSince(int before, double variance) const;

  struct Use {
    net::SteadyTime since;
    int own = 0;
  };

  std::deque<Use> uses;  ///< the last one from before the time that news need, and later ones
};

}  // namespace lentilhead::admission
