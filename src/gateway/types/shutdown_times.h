#pragma once

#include "net/http_types.h"

namespace lentilhead::gateway {

/// When a node began to shut down and when it exits at the latest.
struct ShutdownTimes {
  net::SteadyTime started;
  net::SteadyTime exits_at;
  /// Time from the stop signal to the kill, as set when the signal came.
  std::chrono::milliseconds grace{0};
};

}  // namespace lentilhead::gateway
