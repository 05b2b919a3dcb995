#pragma once

#include <chrono>
#include <optional>

#include "admission/types/wait_verdict.h"
#include "gateway/endpoint_lease.h"
#include "gateway/types/choice.h"

namespace lentilhead::gateway {

/// Outcome of waiting for a free slot at an endpoint.
struct AdmissionOutcome {
  EndpointLease lease;                   ///< empty if no slot was free in time
  NoChoice reason = NoChoice::kAllFull;  ///< kChosen with a lease
  /// Expected time until a request could be sent, if the limits of the endpoints prevented it.
  std::optional<std::chrono::milliseconds> permit_wait;
  /// Why the request was not kept waiting, if all endpoints were full.
  admission::RefusalCause cause = admission::RefusalCause::kNoSlotInTime;
  bool has_waited = false;              ///< the request was queued
  std::optional<double> free_memory{};  ///< as Choice::free_memory
};

}  // namespace lentilhead::gateway
