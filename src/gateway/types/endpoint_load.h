#pragma once

#include <cstdint>
#include <optional>

#include "placement/types/peer_work.h"

namespace lentilhead::gateway {

/// Requests of one node in flight at one endpoint.
struct EndpointLoad {
  std::uint32_t endpoint_key = 0;  ///< HashKey() of the endpoint's id
  int online = 0;
  int batch = 0;
  /// No value if the service is placed by counts or the node is of an older version.
  std::optional<placement::PeerWork> work{};
};

}  // namespace lentilhead::gateway
