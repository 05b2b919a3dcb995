#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "customers/types/node_key.h"
#include "net/http_types.h"

namespace lentilhead::customers {

/// Tells which nodes count the requests of a customer: the two of the listed nodes that rendezvous
/// hashing ranks first.
///
/// Lists of nodes differ for seconds while nodes start. A node that was added to the list is told
/// the usage at once, but asked only when all nodes list it. Reads no clock.
class CountingNodes {
 public:
  static constexpr std::size_t kCountingNodes = 2;
  /// Time after which all nodes list a new one: their follower waits and pauses for 3.9 s.
  static constexpr std::chrono::milliseconds kSettleTime{5000};

  /// The counting nodes of one customer, the first one in front.
  struct Ranking {
    std::vector<NodeKey> asked;
    std::vector<NodeKey> reported;  ///< those asked, and those that will be
  };

  /// Sets the listed nodes. Nodes of the first list count as known to all nodes.
  void SetList(const std::vector<NodeKey>& nodes, net::SteadyTime now);

  /// Leaves a node out while it has not answered for long, or includes it again.
  void SetLost(NodeKey node, bool is_lost);

  /// Lets nodes be asked that have been listed for long enough.
  void Settle(net::SteadyTime now);

  /// Changes whenever rankings may have changed.
  [[nodiscard]] std::uint64_t Version() const { return this->version; }

  [[nodiscard]] std::size_t Count() const { return this->listed_since.size(); }

  [[nodiscard]] Ranking Rank(std::uint32_t customer) const;

  /// Tells whether nodes ask one of them about a customer, by the list alone.
  [[nodiscard]] bool IsAsked(NodeKey node, std::uint32_t customer) const;

 private:
  [[nodiscard]] std::vector<NodeKey> First(std::uint32_t customer, bool settled_only,
                                           bool with_lost) const;

  std::map<NodeKey, net::SteadyTime> listed_since;  ///< begin of time for those that are settled
  std::set<NodeKey> lost;
  std::uint64_t version = 1;
};

}  // namespace lentilhead::customers
