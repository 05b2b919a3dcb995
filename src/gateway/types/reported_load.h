#pragma once

namespace lentilhead::gateway {

/// Load that an endpoint states in an answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

}  // namespace lentilhead::gateway
