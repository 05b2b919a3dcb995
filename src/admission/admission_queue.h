#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "admission/fair_shares.h"
#include "admission/served_shares.h"
#include "admission/types/capacity.h"
#include "admission/types/ticket.h"
#include "admission/types/wait_verdict.h"

namespace lentilhead::admission {

/// Holds the waiting requests of one service, names the next one and decides which are refused.
///
/// Order: a priority or customer that was hardly served goes first; then by priority; then requests
/// that can still be on time before those that cannot; then by age. Requests of a customer at its
/// share are passed over. Now and then a late request goes first, so that it keeps its turn.
///
/// Reads no clock and does no I/O.
class AdmissionQueue {
 public:
  using Id = std::uint64_t;

  /// @param service key of the service. @param shares outlives the queue.
  AdmissionQueue(std::uint32_t service, const FairShares& shares)
      : service(service), shares(&shares) {}

  /// Records that a request has arrived, whether it will wait or not.
  void RecordAsked(const Ticket& ticket, net::SteadyTime now);

  /// Records that a request got a slot.
  void RecordServed(const Ticket& ticket, net::SteadyTime now);

  /// Adds a request that waits. @return its id.
  Id Add(Ticket ticket);
  void Remove(Id id);
  [[nodiscard]] std::size_t Size() const { return this->waiting.size(); }
  /// Number of waiting requests of a customer.
  [[nodiscard]] std::size_t SizeOf(std::uint32_t customer) const;

  /// Whether a request may take a slot now, by the share of its customer.
  [[nodiscard]] bool MayStart(const Ticket& ticket, const Capacity& capacity,
                              net::SteadyTime now) const;

  /// The request that gets the next free slot.
  /// @param skipped requests to pass over.
  [[nodiscard]] std::optional<Ticket> Next(net::SteadyTime now, const Capacity& capacity,
                                           const std::set<Id>& skipped = {}) const;

  /// Decides whether a request, waiting or about to, is refused. A request that is expected to
  /// start too late is refused at once. After the time until which a refusal costs little it is
  /// kept if it can be served at all before its deadline.
  [[nodiscard]] WaitVerdict Review(const Ticket& ticket, net::SteadyTime now,
                                   const Capacity& capacity) const;

  /// Requests per second that this node may start for a customer at its share.
  [[nodiscard]] double StartRateOf(std::uint32_t customer, const Capacity& capacity,
                                   net::SteadyTime now) const;

 private:
  /// Whether the first of two requests goes before the second.
  [[nodiscard]] bool GoesBefore(const Ticket& first, const Ticket& second,
                                net::SteadyTime now) const;
  /// Time at which the request is expected to start.
  [[nodiscard]] net::SteadyTime ExpectedStart(const Ticket& ticket, net::SteadyTime now,
                                              const Capacity& capacity, bool may_start) const;

  std::uint32_t service;
  const FairShares* shares;
  std::vector<Ticket> waiting;  ///< in the order of arrival
  ServedShares by_customer;
  ServedShares by_priority;
  Id last_id = 0;
  std::uint64_t served = 0;  ///< requests that waited and could be on time, since a late one
};

}  // namespace lentilhead::admission
