#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "endpoint/types/endpoint_info.h"

namespace lentilhead::endpoint::internal {

/// Selects the subset of a service's endpoints that an instance polls and prefers.
///
/// The endpoints of the instance's own availability zone and those of the other zones are each
/// ordered by rendezvous hashing with the instance's name. Adding or removing one endpoint thus
/// changes at most one member of the subset, and the subsets of all instances spread over all
/// endpoints.
/// Three quarters of the subset come from the instance's own zone if it has enough endpoints, the
/// rest from the others.
/// @return indices into `endpoints`.
std::vector<std::size_t> SelectSubset(const std::string& instance, const std::string& zone,
                                      const std::vector<EndpointInfo>& endpoints, std::size_t size);

}  // namespace lentilhead::endpoint::internal
