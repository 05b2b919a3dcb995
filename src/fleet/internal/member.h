#pragma once

#include <optional>

#include "fleet/types/fleet_instance.h"
#include "framework/types/time_types.h"

namespace lentilhead::fleet::internal {

/// State of another instance in the membership protocol.
struct Member {
  FleetInstance info;
  framework::MonotonicTime changed_at;  ///< Time of the last change of state or incarnation.
  std::optional<framework::MonotonicTime>
      dead_at;  ///< Time at which it is declared dead if not refuted.
  std::optional<framework::MonotonicTime> probe_deadline;  ///< Deadline of the probe in flight.
};

}  // namespace lentilhead::fleet::internal
