#pragma once

#include "net/http_types.h"

namespace lentilhead::gateway {

/// When a node began to shut down and when it exits at the latest.
struct ShutdownTimes {
  net::SteadyTime started;
  net::SteadyTime exits_at;
};

}  // namespace lentilhead::gateway
