#pragma once

#include "placement/service_pace.h"

namespace lentilhead::gateway {

/// What placement by work needs to know of a service.
struct ServiceWork {
  bool is_placed_by_work = false;  ///< an endpoint has reported how long work takes
  placement::ServicePace pace;
};

}  // namespace lentilhead::gateway
