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

  /// Takes the view of the fleet. @param confirmed time at which it was true.
  void OnView(const fleet::FleetView& new_view, framework::MonotonicTime confirmed);

  /// Runs what is due. Called every load period.
  void OnTick();

  /// Stops pulling; running items go on.
  void Drain() { this->draining = true; }

  /// Cancels what runs and reports it as not finished.
  void PreemptAll();

  /// True if nothing runs and every result has been taken.
  [[nodiscard]] bool IsIdle() const;

 private:
  /// Exchanges with one job owner; one at a time.
  struct OwnerChannel {
    std::uint64_t sequence = 0;
    std::optional<framework::HttpCall> call;
    std::map<std::string, WantedItems> wanted;
    std::map<std::string, int> reserved_credit;   ///< Credit that `wanted` may use, by service.
    std::map<std::string, int> credit_in_flight;  ///< Credit that the running exchange may use.
    framework::MonotonicTime last_sent;
    bool failed_last = false;
  };

  /// Owner of a job by its last offer, or else by its shard; empty if there is none.
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
  std::map<std::string, framework::MonotonicTime>
      orphaned;                                       ///< Jobs that nobody has offered since.
  std::map<std::string, std::string> solo_requested;  ///< Owner asked for a lone item, by service.
  framework::TimerSubscription exchange_timer;
  bool exchanges_scheduled = false;
  bool draining = false;
};

}  // namespace lentilhead::batch::internal
