#pragma once

namespace lentilhead::relay {

/// Whether a node connects a peer to an endpoint, or why not.
enum class TunnelPermit {
  kGranted,
  kUnknownCaller,    ///< the caller is no listed node
  kUnknownEndpoint,  ///< no listed endpoint has the address
  kCutOff,           ///< this node does not reach the endpoint directly
  kLeaving,          ///< this node is shutting down
};

}  // namespace lentilhead::relay
