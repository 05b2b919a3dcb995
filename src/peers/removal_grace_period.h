#pragma once

#include <chrono>

#include "net/http_types.h"

namespace lentilhead::peers {

/// Decides how long an endpoint stays usable after its entry was removed or has expired.
///
/// While no node reaches the store, entries expire because they cannot be renewed, and return soon
/// after it recovers. If only this node cannot reach it, a removal is valid. Reads no clock.
class RemovalGracePeriod {
 public:
  /// Records the state of the store.
  /// @param served whether the store serves this node.
  /// @param peer_served whether the store serves a peer.
  void Note(bool served, bool peer_served, net::SteadyTime now);

  /// Returns the time until which an endpoint whose entry is removed now stays usable.
  [[nodiscard]] net::SteadyTime UsableUntil(net::SteadyTime now) const;

 private:
  net::SteadyTime last_outage;  ///< last time at which no node reached the store
};

}  // namespace lentilhead::peers
