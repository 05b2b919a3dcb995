#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "batch/internal/batch_parts.h"
#include "batch/internal/endpoint_worker.h"
#include "batch/internal/exchange_messages.h"
#include "batch/internal/result_outbox.h"
#include "batch/internal/work_selector.h"
#include "fleet/types/fleet_view.h"

namespace lentilhead::batch::internal {

/// The endpoint owner's side of dispatch: pulls items of the offered jobs into the free slots of
/// the endpoints that this process owns, and returns results to the job owners.
class WorkPuller {
 public:
  explicit WorkPuller(BatchParts& parts);
  WorkPuller(const WorkPuller&) = delete;
  WorkPuller& operator=(const WorkPuller&) = delete;

  void OnOffers(const OfferMessage& message);

  /// Updates the view of the fleet. @param confirmed time at which the view was known to be
  /// correct.
  void OnView(const fleet::FleetView& new_view, framework::MonotonicTime confirmed);

  /// Performs the periodic work. Called every load period.
  void OnTick();

  /// Stops requesting items. Items in flight continue.
  void Drain() { this->draining = true; }

  /// Cancels the items in flight and reports them as preempted.
  void PreemptAll();

  /// Returns true if no item and no exchange is in flight and every result has been acknowledged.
  [[nodiscard]] bool IsIdle() const;

 private:
  /// State of the exchanges with one job owner. One exchange is in flight at a time.
  struct OwnerChannel {
    std::uint64_t sequence = 0;
    std::optional<framework::HttpCall> call;
    std::map<std::string, WantedItems> wanted;
    std::map<std::string, int> reserved_credit;   ///< Credit reserved for `wanted`, by service.
    std::map<std::string, int> credit_in_flight;  ///< Credit of the exchange in flight, by service.
    framework::MonotonicTime last_sent;
    bool failed_last = false;
  };

  /// Returns the owner of a job according to its last offer, or else to its shard; empty if there
  /// is none.
  [[nodiscard]] std::string OwnerOf(const std::string& job, framework::MonotonicTime now) const;
  void ScheduleExchanges();
  void RunExchanges();
  void RequestItems(const std::string& service);
  void RequestSoloItem(const std::string& service);
  void Send(const std::string& owner, OwnerChannel& channel);
  ExchangeRequest BuildRequest(const std::string& owner, OwnerChannel& channel);
  void OnReply(const std::string& owner, const std::map<std::string, std::size_t>& sent,
               const ExchangeReply& reply);
  void ReleaseRequests(const std::string& owner, OwnerChannel& channel);
  void StartItem(const GrantedItem& item);
  void Drop(const std::string& job, const HeldItem& held);
  void RemoveOrphans();
  [[nodiscard]] bool IsDue(const std::string& owner, const OwnerChannel& channel,
                           const std::set<std::string>& owners_of_held) const;
  [[nodiscard]] std::set<std::string> OwnersOfHeld() const;
  [[nodiscard]] std::set<std::string> Services() const;
  EndpointWorker& AddWorker(const endpoint::EndpointInfo& target,
                            const endpoint::ServiceSettings& service);

  BatchParts& parts;
  fleet::FleetView view;
  WorkSelector selector;
  ResultOutbox outbox;
  std::map<std::string, std::unique_ptr<EndpointWorker>> workers;  ///< By endpoint.
  std::map<std::string, OwnerChannel> channels;                    ///< By instance.

  /// Held jobs without a current offer, and since when.
  std::map<std::string, framework::MonotonicTime> orphaned;

  /// Owner that was asked for an item that runs alone, by service.
  std::map<std::string, std::string> solo_requested;
  framework::TimerSubscription exchange_timer;
  bool exchanges_scheduled = false;
  bool draining = false;
};

}  // namespace lentilhead::batch::internal
