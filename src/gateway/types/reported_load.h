#pragma once

namespace lentilhead::gateway {

/// Load that an endpoint reports in the head of an answer.
struct ReportedLoad {
  int running = 0;
  int waiting = 0;  ///< requests in the endpoint's queue
  int slots = 0;
};

}  // namespace lentilhead::gateway
