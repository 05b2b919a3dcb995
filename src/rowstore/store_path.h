#pragma once

#include <chrono>

#include "net/http_types.h"

namespace lentilhead::rowstore {

/// How a direct call to the store ended.
enum class PathOutcome {
  kAnswered,
  kRefused,  ///< the store refused this node, or the connection was refused or reset
  kSilent,   ///< no answer in time
};

/// Decides whether calls go to the store directly or through a peer that the store serves.
///
/// The store may refuse some nodes, or be unreachable from them, while it serves others. Reads no
/// clock.
class StorePath {
 public:
  /// Records the outcome of a direct call.
  void Note(PathOutcome outcome, net::SteadyTime now);

  /// Tells whether the next call goes to the store directly even if a peer could relay it. After
  /// several failures in a row this holds for one call per period, to find out when the store
  /// serves this node again.
  [[nodiscard]] bool ShouldTryDirect(net::SteadyTime now);

  /// Tells whether the store answered the last direct call without refusing this node; true
  /// before the first call.
  [[nodiscard]] bool IsServingThisNode() const { return this->failures == 0; }

 private:
  int failures = 0;
  net::SteadyTime next_direct_try;
};

}  // namespace lentilhead::rowstore
