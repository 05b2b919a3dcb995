#pragma once

namespace lentilhead::relay {

/// What a peer says of itself that decides whether it can carry requests of this node.
enum class PeerNews {
  kServing,
  kCutOff,   ///< it is cut off from all endpoints
  kLeaving,  ///< it is shutting down
};

}  // namespace lentilhead::relay
