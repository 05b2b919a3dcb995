#pragma once

#include <cstdint>

namespace lentilhead::relay {

/// A connection to be opened to learn which paths to an endpoint work.
struct DueProbe {
  std::uint32_t key = 0;      ///< of the endpoint
  bool through_peer = false;  ///< a connection through a peer is opened at the same time
};

}  // namespace lentilhead::relay
