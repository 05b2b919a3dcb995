#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "admission/types/capacity.h"
#include "admission/types/customer_share.h"
#include "admission/types/customer_use.h"
#include "net/http_types.h"

namespace lentilhead::admission {

/// Shares the slots of each service between customers, max-min fairly by work in flight.
///
/// The level is the number of slots at which the customers' uses, cut off there, fill the slots
/// that are shared out. A customer below the level is not restricted. One at the level gets the
/// slots that the others leave free, divided over the nodes by their part of its use, so that the
/// nodes of a group do not all take the same free slots before they hear of each other.
///
/// Reads no clock and does no I/O.
class FairShares {
 public:
  /// Customers that a node tells its peers of.
  static constexpr std::size_t kMaxReportedCustomers = 8;

  /// @param salt differs between nodes; decides which of them may round a part of a slot up.
  explicit FairShares(std::uint32_t salt) : salt(salt) {}

  /// Records that a request of this node has taken a slot, or has left it.
  /// @param customer key of the customer; 0 for a request without one.
  void RecordStart(std::uint32_t service, std::uint32_t customer);
  void RecordEnd(std::uint32_t service, std::uint32_t customer);

  /// Replaces what a peer's requests use.
  void SetPeerUse(const std::string& peer, const std::vector<CustomerUse>& uses,
                  net::SteadyTime now);
  void RemovePeer(const std::string& peer) { this->peers.erase(peer); }

  /// Sets the number of nodes that share the slots, this one included. Peers that report nothing,
  /// such as those of an older version, count as using the mean of the others.
  void SetNodeCount(std::size_t count) { this->nodes = count == 0 ? 1 : count; }
  [[nodiscard]] std::size_t NodeCount() const { return this->nodes; }

  /// The slots that this node's requests use, for the largest customers.
  [[nodiscard]] std::vector<CustomerUse> Report() const;

  /// Slots of a service that this node's requests use.
  [[nodiscard]] int OwnUse(std::uint32_t service) const;

  /// What a customer uses and may use.
  [[nodiscard]] CustomerShare ShareOf(std::uint32_t service, std::uint32_t customer,
                                      const Capacity& capacity, net::SteadyTime now) const;

  /// Whether a customer may take one more slot through this node.
  [[nodiscard]] bool MayStart(std::uint32_t service, std::uint32_t customer,
                              const Capacity& capacity, net::SteadyTime now) const;

 private:
  using Uses = std::map<std::uint32_t, double>;  ///< slots by customer

  struct Peer {
    net::SteadyTime heard_at;
    std::vector<CustomerUse> uses;
  };

  /// Estimated slots of all nodes, by customer.
  [[nodiscard]] Uses GroupUses(std::uint32_t service, net::SteadyTime now) const;
  /// Random number of this node for a customer, from 0 to 1; changes several times a second.
  [[nodiscard]] double Dither(std::uint32_t customer, net::SteadyTime now) const;

  std::uint32_t salt;
  std::size_t nodes = 1;
  std::map<std::uint32_t, std::map<std::uint32_t, int>> own;  ///< slots by service and customer
  std::map<std::string, Peer> peers;
};

}  // namespace lentilhead::admission
