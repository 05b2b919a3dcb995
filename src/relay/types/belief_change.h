#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lentilhead::relay {

/// A change of what a node believes to be cut off from.
struct BeliefChange {
  /// What the node is cut off from, or no longer.
  enum class Scope { kEndpoint, kZone, kAll };

  Scope scope = Scope::kEndpoint;
  std::uint32_t key = 0;   ///< of the endpoint, for Scope::kEndpoint
  std::string zone;        ///< of the endpoint, or that is cut off
  bool is_cut = false;     ///< the belief begins; false: it ends
  int contradictions = 0;  ///< failures of this node beside a success of a peer, when it begins
  int endpoints = 0;       ///< that these concern
  /// Since the first of these failures; when a belief ends, since it began.
  std::chrono::milliseconds span{0};
};

/// Name of a scope in log lines.
[[nodiscard]] inline const char* NameOf(BeliefChange::Scope scope) {
  switch (scope) {
    case BeliefChange::Scope::kEndpoint:
      return "endpoint";
    case BeliefChange::Scope::kZone:
      return "zone";
    case BeliefChange::Scope::kAll:
      return "all";
  }
  return "unknown";
}

}  // namespace lentilhead::relay
