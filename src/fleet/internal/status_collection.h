#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "fleet/types/instance_status.h"

namespace lentilhead::fleet::internal {

/// State of one request for the status of all instances.
struct StatusCollection {
  std::vector<InstanceStatus> statuses;
  std::size_t next = 0;       ///< First instance whose status is not yet requested.
  std::size_t in_flight = 0;  ///< Requests in flight.
  std::function<void(std::vector<InstanceStatus>)> handler;
};

}  // namespace lentilhead::fleet::internal
