#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// Objectives of a request that bound its wait where the configuration has customers.
struct WaitObjectives {
  net::SteadyTime arrival;
  std::chrono::milliseconds target_latency{0};  ///< objective for the answer or the first event
  net::SteadyTime deadline;
};

/// How a request waits for a slot.
struct WaitTerms {
  int priority = 0;            ///< 0 is the most urgent
  net::SteadyTime until;       ///< the wait ends then, unless the objectives allow a longer one
  std::uint32_t customer = 0;  ///< key of the customer; 0 for none
  std::optional<WaitObjectives> objectives;  ///< none: waits until then, whatever is expected
};

}  // namespace lentilhead::gateway
