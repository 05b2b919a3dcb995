#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/endpoint_registry.h"
#include "peers/types/listed_node.h"

namespace lentilhead::peers {

/// Divides the nodes of a large fleet into groups, and the endpoints among the groups.
///
/// Nodes exchange their loads within their group, and use the endpoints of their group first. The
/// messages of a node and the age of what it knows are therefore bounded by the size of a group,
/// however many nodes there are. A small fleet is a single group with all endpoints. Groups do not
/// span zones, so most requests stay in a zone. All nodes derive the same groups from the table of
/// nodes and the list of endpoints; while these differ for a moment, only the estimates of load are
/// less exact.
class PeerGroups {
 public:
  /// Largest fleet that is a single group.
  static constexpr std::size_t kMaxSingleGroupNodes = 24;
  /// Largest number of nodes in one of several groups.
  static constexpr std::size_t kMaxGroupNodes = 16;

  /// @param self this node.
  explicit PeerGroups(ListedNode self);

  /// Adds or updates a node.
  void Put(const ListedNode& node);

  /// Changes whenever the groups may have changed.
  [[nodiscard]] std::uint64_t Version() const { return this->version; }

  /// All listed nodes by name, including this one.
  [[nodiscard]] const std::map<std::string, ListedNode>& Listed() const { return this->nodes; }

  [[nodiscard]] std::size_t Count() const { return this->groups.size(); }

  /// Addresses of the nodes in this node's group, including its own.
  [[nodiscard]] const std::set<net::asio::ip::address>& OwnGroup() const {
    return this->own_addresses;
  }

  /// All listed nodes, by name, including this one.
  [[nodiscard]] const std::map<std::string, ListedNode>& Nodes() const { return this->nodes; }

  /// Tells whether a node is listed and belongs to this node's group.
  [[nodiscard]] bool IsInOwnGroup(const std::string& node) const;

  /// Returns how many groups come before this node's group for a key, such as a job. The order
  /// differs from key to key.
  [[nodiscard]] std::size_t GroupsBefore(const std::string& key) const;

  /// Returns the endpoints that this node's group uses.
  /// @param endpoints all endpoints.
  [[nodiscard]] gateway::EndpointGroup Select(
      const std::vector<gateway::EndpointEntry>& endpoints) const;

 private:
  struct Group {
    std::string name;
    std::string zone;
  };

  void Divide();
  [[nodiscard]] std::map<std::string, std::size_t> Assign(
      const std::vector<const gateway::EndpointEntry*>& endpoints) const;

  ListedNode self;
  std::map<std::string, ListedNode> nodes;  ///< by name
  std::uint64_t version = 0;
  std::vector<Group> groups;
  std::size_t own_group = 0;
  std::set<net::asio::ip::address> own_addresses;
};

}  // namespace lentilhead::peers
