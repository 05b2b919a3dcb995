#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "gateway/types/limit_notice.h"
#include "gateway/types/outside_limit.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// Which endpoints of other groups name a limit.
///
/// The nodes of an endpoint's group use its limit among themselves. Others leave it alone as long
/// as they hear that it names one, from its answers or from nodes that pass on what they know. What
/// is not heard any more lapses, so that the end of a limit needs no message.
///
/// Reads no clock and does no I/O.
class OutsideLimits {
 public:
  /// Longest list that Facts() returns.
  static constexpr std::size_t kMaxFacts = 256;

  /// Records an answer of an endpoint to this node.
  void RecordAnswer(std::uint32_t incarnation, const LimitNotice& notice, net::SteadyTime now);

  /// Adds what another node knows.
  void Merge(const std::vector<OutsideLimit>& facts, net::SteadyTime now);

  /// Whether endpoints of other groups may be tried. Not for a moment after one of them named a
  /// limit that this node had not heard of: many may, and the nodes of all groups would try them.
  [[nodiscard]] bool MayTry(net::SteadyTime now) const { return now >= this->paused_until; }

  /// Whether an endpoint named a limit a short time ago.
  [[nodiscard]] bool IsLimited(std::uint32_t incarnation, net::SteadyTime now) const;

  /// What nodes of other groups are to know.
  /// @param own incarnations of the endpoints of this node's group that name a limit.
  /// @param first index at which a part is taken of these, or of the rest, if there are too many.
  [[nodiscard]] std::vector<OutsideLimit> Facts(const std::vector<std::uint32_t>& own,
                                                std::size_t first, net::SteadyTime now) const;

  /// Forgets what has lapsed.
  void Prune(net::SteadyTime now);

 private:
  std::map<std::uint32_t, net::SteadyTime> known_at;  ///< by incarnation
  net::SteadyTime paused_until;
  std::chrono::milliseconds pause{0};
};

}  // namespace lentilhead::gateway
