#pragma once

#include <chrono>

#include "net/http_types.h"

namespace lentilhead::peers {

/// Decides how long an endpoint stays usable after its entry has gone.
///
/// Entries lapse while the store is away from everybody, and come back soon after it. While it
/// turns away this node only, an entry that goes is gone. Reads no clock.
class RemovalGracePeriod {
 public:
  /// Notes how the store stands.
  /// @param served this node reaches the store. @param peer_served a peer reaches it.
  void Note(bool served, bool peer_served, net::SteadyTime now);

  /// Time until which an endpoint whose entry goes now is usable.
  [[nodiscard]] net::SteadyTime UsableUntil(net::SteadyTime now) const;

 private:
  net::SteadyTime last_outage;  ///< last time at which the store was away from everybody
};

}  // namespace lentilhead::peers
