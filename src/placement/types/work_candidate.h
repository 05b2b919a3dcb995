#pragma once

#include <cstddef>

namespace lentilhead::placement {

/// An endpoint that may be chosen for a request.
struct WorkCandidate {
  double first_ms =
      0;  ///< expected cost in a free slot: time to the first event and a part of the rest
  double turn_ms = 0;    ///< expected wait for each request that waits for a slot
  double in_flight = 0;  ///< estimated requests of all nodes
  double slots = 1;
  std::size_t rank = 0;  ///< place in the list of the endpoints that a group of nodes shares
  double slack = 1;      ///< how roughly `in_flight` is known
};

}  // namespace lentilhead::placement
