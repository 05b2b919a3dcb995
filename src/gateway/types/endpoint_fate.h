#pragma once

#include <string_view>

namespace lentilhead::gateway {

/// What is known of an endpoint after a connection to it was lost.
enum class EndpointFate {
  kAlive,    ///< another connection to it is still open
  kUnknown,  ///< it accepts connections or does not answer
  kCutOff,   ///< a peer reaches it and this node does not, or this node reaches no endpoint
  kEnded,    ///< its address refuses or drops connections, those of others do not
};

/// Name of a fate in logs.
[[nodiscard]] inline std::string_view NameOf(EndpointFate fate) {
  switch (fate) {
    case EndpointFate::kAlive:
      return "alive";
    case EndpointFate::kUnknown:
      return "unknown";
    case EndpointFate::kCutOff:
      return "cut_off";
    case EndpointFate::kEnded:
      return "ended";
  }
  return "unknown";
}

}  // namespace lentilhead::gateway
