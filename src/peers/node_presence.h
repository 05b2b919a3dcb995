#pragma once

#include <map>
#include <string>
#include <vector>

#include "peers/peer_exchange.h"
#include "peers/peer_groups.h"
#include "rowstore/row_store.h"

namespace lentilhead::peers {

/// Announces this node in the store, which lists the nodes and shows which of them are alive.
class NodePresence {
 public:
  static constexpr char kTable[] = "nodes";

  /// @param self this node.
  NodePresence(gateway::Gateway& gateway, rowstore::RowStore& store, PeerExchange& exchange,
               ListedNode self);

  /// The groups of the nodes that the table lists.
  [[nodiscard]] const PeerGroups& Groups() const { return this->groups; }

  /// Whether the table of nodes has been read once. Until then only this node is known.
  [[nodiscard]] bool HasList() const { return this->has_list; }

  /// Applies rows of the table of nodes.
  void Note(const std::vector<rowstore::Row>& rows);

  /// Writes the row of this node once, and periodically while `owns_jobs` returns true.
  net::asio::awaitable<void> Announce(std::function<bool()> owns_jobs);

  /// Records that an incarnation of a node has written to the store. Its datagrams do not reach the
  /// other groups, and its row is renewed only some time after it has taken a job.
  void NoteWriter(const std::string& incarnation);

  /// Tells whether an incarnation of a node is alive according to datagrams or the store.
  [[nodiscard]] bool IsAlive(const std::string& incarnation, net::SteadyTime now) const;

  /// Records whether the table of nodes can be followed. While it cannot, nodes of other groups
  /// give no sign of life, so an outage of the store must not make them look lost.
  void NoteStore(bool reachable, net::SteadyTime now);

  /// Marks all nodes as just seen, so that a stall of this process does not expire them.
  void RefreshAfterStall();

 private:
  gateway::Gateway& gateway;
  rowstore::RowStore& store;
  PeerExchange& exchange;
  ListedNode self;
  PeerGroups groups;
  bool has_list = false;
  std::map<std::string, net::SteadyTime> last_seen;       ///< by incarnation
  std::map<std::string, std::string> newest_incarnation;  ///< by name of the node
  net::SteadyTime last_outage;                            ///< last time without the table of nodes
};

}  // namespace lentilhead::peers
