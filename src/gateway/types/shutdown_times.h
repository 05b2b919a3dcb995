#pragma once

#include "net/http_types.h"

namespace lentilhead::gateway {

/// When a node began to shut down and when it exits at the latest.
struct ShutdownTimes {
  net::SteadyTime started;
  std::chrono::milliseconds grace{0};  ///< time between the stop signal and the kill
  std::chrono::milliseconds lag{0};    ///< longest recent delay of the event loop
  net::SteadyTime exits_at;
  net::SteadyTime promised_until;  ///< latest end of the requests accepted since then
};

}  // namespace lentilhead::gateway
