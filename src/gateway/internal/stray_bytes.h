#pragma once

#include "framework/metrics.h"
#include "gateway/internal/endpoint_connection.h"
#include "gateway/types/stray_place.h"

namespace lentilhead::gateway::internal {

/// Logs and counts bytes that belong to no answer expected on a connection.
/// @param bytes number of those received so far.
void ReportStrayBytes(framework::Metrics& metrics, const EndpointConnection& connection,
                      StrayPlace place, std::size_t bytes);

}  // namespace lentilhead::gateway::internal
