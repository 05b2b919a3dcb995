#pragma once

namespace lentilhead::gateway {

/// What became of an attempt to open a connection to an endpoint.
enum class ConnectOutcome {
  kConnected,  ///< from this node or through a peer
  kFailed,     ///< neither this node nor a peer could connect, or the attempt was cancelled
  kNoPath,     ///< this node is cut off, and no peer is left that could connect it
};

}  // namespace lentilhead::gateway
