#include "peers/removal_grace_period.h"

#include <algorithm>

namespace lentilhead::peers {

namespace {

// Endpoints renew their entries within two seconds after the store recovers; with a margin.
constexpr std::chrono::milliseconds kExpiryGracePeriod{2300};

}  // namespace

void RemovalGracePeriod::Note(bool served, bool peer_served, net::SteadyTime now) {
  if (!served && !peer_served) {
    this->last_outage = now;
  }
}

net::SteadyTime RemovalGracePeriod::UsableUntil(net::SteadyTime now) const {
  return std::max(now, this->last_outage + kExpiryGracePeriod);
}

}  // namespace lentilhead::peers
