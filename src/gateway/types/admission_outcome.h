#pragma once

#include "gateway/endpoint_lease.h"
#include "gateway/types/choice.h"

namespace lentilhead::gateway {

/// Outcome of waiting for room at an endpoint.
struct AdmissionOutcome {
  EndpointLease lease;  ///< empty without room
  NoChoice reason = NoChoice::kAllFull;
};

}  // namespace lentilhead::gateway
