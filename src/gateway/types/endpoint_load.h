#pragma once

#include <cstdint>

namespace lentilhead::gateway {

/// Requests of one node in flight at one endpoint.
struct EndpointLoad {
  std::uint32_t endpoint_key = 0;  ///< HashKey() of the endpoint's id
  int online = 0;
  int batch = 0;
};

}  // namespace lentilhead::gateway
