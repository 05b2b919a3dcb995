#pragma once

#include <string_view>

namespace lentilhead::relay {

/// What became of a request to a peer to connect this node to an endpoint.
enum class TunnelOutcome {
  kGranted,      ///< the connection now leads to the endpoint
  kUnreachable,  ///< the peer could not connect to the endpoint
  kCutOff,       ///< the peer is itself cut off from the endpoint
  kFull,         ///< the peer carries as many connections as it may
  kLeaving,      ///< the peer is shutting down
  kNotListed,    ///< the peer lists this node or the endpoint not, or not yet
  kNoAnswer,     ///< the peer can't be connected to or did not answer in time
};

/// Name of an outcome in logs and metrics.
[[nodiscard]] inline std::string_view NameOf(TunnelOutcome outcome) {
  switch (outcome) {
    case TunnelOutcome::kGranted:
      return "granted";
    case TunnelOutcome::kUnreachable:
      return "unreachable";
    case TunnelOutcome::kCutOff:
      return "cut_off";
    case TunnelOutcome::kFull:
      return "full";
    case TunnelOutcome::kLeaving:
      return "leaving";
    case TunnelOutcome::kNotListed:
      return "not_listed";
    case TunnelOutcome::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

}  // namespace lentilhead::relay
