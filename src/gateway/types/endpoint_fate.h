#pragma once

namespace lentilhead::gateway {

/// What is known of an endpoint after a connection to it was lost.
enum class EndpointFate {
  kAlive,    ///< another connection to it is still open
  kUnknown,  ///< it accepts connections or does not answer
  kCutOff,   ///< a peer reaches it and this node does not, or this node reaches no endpoint
  kEnded,    ///< its address refuses or drops connections, those of others do not
};

}  // namespace lentilhead::gateway
