#pragma once

#include <cstdint>

#include "net/http_types.h"

namespace lentilhead::admission {

/// A request that waits for a slot.
struct Ticket {
  std::uint64_t id = 0;        ///< given by the queue
  std::uint32_t customer = 0;  ///< key of the customer; 0 for a request without one
  int priority = 0;            ///< 0 is the most urgent
  net::SteadyTime arrival;
  /// A refusal until then costs the caller little: it can still be served on time elsewhere.
  net::SteadyTime refuse_by;
  net::SteadyTime useful_start;  ///< latest start at which the answer is expected on time
  net::SteadyTime latest_start;  ///< latest start at which the answer is expected at all
  /// Whether the request may be told that it has not run. If not, it waits to the latest start.
  bool may_be_refused = true;

  /// Whether the latest starts come from objectives, rather than from a fixed time to wait.
  bool has_objectives = false;

  /// Whether the request counts as one that can be on time.
  [[nodiscard]] bool CanBeOnTime(net::SteadyTime now) const {
    return !this->may_be_refused || now <= this->useful_start;
  }
};

}  // namespace lentilhead::admission
