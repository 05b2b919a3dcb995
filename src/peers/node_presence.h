#pragma once

#include <map>
#include <string>
#include <vector>

#include "peers/peer_exchange.h"
#include "rowstore/row_store.h"

namespace lentilhead::peers {

/// Where nodes find each other in the store, and a second sign of life beside the datagrams.
class NodePresence {
 public:
  static constexpr char kTable[] = "nodes";

  NodePresence(gateway::Gateway& gateway, rowstore::RowStore& store, PeerExchange& exchange,
               std::string address);

  /// Takes over rows of the table.
  void Note(const std::vector<rowstore::Row>& rows);

  /// Writes the own row: once, and again and again while `owns_jobs` says that jobs depend on it.
  net::asio::awaitable<void> Announce(std::function<bool()> owns_jobs);

  /// Whether a start of a node is alive by what datagrams or the store show.
  [[nodiscard]] bool IsAlive(const std::string& incarnation) const;

  /// Counts the time that this node stood still in favour of the others.
  void RefreshAfterStall();

 private:
  gateway::Gateway& gateway;
  rowstore::RowStore& store;
  PeerExchange& exchange;
  std::string address;
  std::map<std::string, net::SteadyTime> last_seen;       ///< last sign of each start of a node
  std::map<std::string, std::string> newest_incarnation;  ///< of each node
};

}  // namespace lentilhead::peers
