#pragma once

#include <chrono>

#include "net/http_types.h"

namespace lentilhead::rowstore {

/// How a call to the store ended, as far as the way to the store is concerned.
enum class PathOutcome {
  kAnswered,  ///< the store answered
  kRefused,   ///< refused, or the connection was refused or reset
  kSilent,    ///< no answer in time
};

/// Decides whether calls go to the store themselves or through a peer that the store serves.
///
/// Answers the load of an outage that concerns some nodes only: the store turns them away or they
/// are cut off from it, while others reach it. Reads no clock.
class StorePath {
 public:
  /// Notes the outcome of a call that went to the store directly.
  void Note(PathOutcome outcome, net::SteadyTime now);

  /// Whether the next call is to try the store directly, though a peer could pass it on.
  /// A try now and then finds out when the store serves this node try_again.
  [[nodiscard]] bool ShouldTryDirect(net::SteadyTime now);

  /// Whether the store serves this node.
  [[nodiscard]] bool IsServingThisNode() const { return this->failures == 0; }

 private:
  int failures = 0;
  net::SteadyTime next_direct_try;
};

}  // namespace lentilhead::rowstore
