#pragma once

namespace lentilhead::relay {

/// How a new connection to an endpoint is opened first.
enum class Path {
  kDirect,  ///< from this node
  kPeer,    ///< through a peer, which connects to the endpoint
};

}  // namespace lentilhead::relay
