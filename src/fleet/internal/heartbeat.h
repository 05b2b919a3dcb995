#pragma once

#include <cstdint>
#include <vector>

#include "fleet/internal/replica_revisions.h"
#include "fleet/types/fleet_instance.h"

namespace lentilhead::fleet::internal {

/// Message between two instances. The answer to a heartbeat is also a heartbeat.
struct Heartbeat {
  FleetInstance sender;
  std::vector<FleetInstance> updates;  ///< Recent changes of other instances.
  std::uint64_t members_digest = 0;    ///< Digest of the sender's view, to detect differences.
  ReplicaRevisions revisions;
};

}  // namespace lentilhead::fleet::internal
