#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet_module.h"
#include "fleet/internal/drain_store.h"
#include "fleet/internal/membership.h"
#include "fleet/internal/pending_calls.h"
#include "fleet/internal/replica_tracker.h"
#include "fleet/internal/status_collection.h"
#include "framework/json_rpc_client.h"
#include "framework/timer_subscription.h"

namespace lentilhead::fleet {

/// Connects the state machines of the fleet module to timers, peers and the platform.
class FleetModule::State : public std::enable_shared_from_this<FleetModule::State> {
 public:
  State(FleetSettings settings, Dependencies dependencies);

  void RegisterProcedures(framework::JsonRpcServer& server);
  void Start();
  void Leave();
  void ChangeDrain(DrainChange change, DrainHandler handler);
  void FetchStatus(StatusHandler handler);
  void OnChange(std::function<void()> handler);

  [[nodiscard]] const FleetView& View() const { return this->view; }
  [[nodiscard]] const DrainState& Drains() const { return this->drains; }
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool IsLeaving() const;

 private:
  // Membership.
  void OnPeriod();
  void ReadListIfDue();
  void ReadList();
  void Execute(internal::MembershipEffects effects);
  void Execute(internal::SendHeartbeat send);
  void Execute(const internal::SendProbeRequest& request);
  void Execute(const internal::SendConfirmation& confirmation);
  void Execute(const internal::RequestMembers& request);
  void OnHeartbeatReply(const internal::SendHeartbeat& sent,
                        framework::Reply<Json::Value, framework::JsonRpcFailure> reply,
                        framework::MonotonicTime started);
  void UpdateLeaving();
  void UpdateBatchAddress();
  [[nodiscard]] bool CanShowView() const;
  void Publish();
  void CountEvents();

  // Procedures.
  Json::Value HandleHeartbeat(const Json::Value& message);
  Json::Value HandleProbe(const Json::Value& message);
  Json::Value HandleConfirm(const Json::Value& message);
  Json::Value HandleSheetFetch(const Json::Value& message);
  Json::Value HandleView(const Json::Value& message);
  [[nodiscard]] Json::Value SheetNewerThan(std::uint64_t revision) const;
  [[nodiscard]] InstanceStatus OwnStatus() const;
  void RequestStatuses(const std::shared_ptr<internal::StatusCollection>& collection);

  // Replication.
  [[nodiscard]] bool PollsStore() const;
  [[nodiscard]] internal::ReplicaRevisions Revisions() const;
  void OnPeerRevisions(const internal::Heartbeat& heartbeat, framework::MonotonicTime sent_after);
  void ExecuteForSheet(const internal::ReplicaEffects& effects);
  void ReadSheetRevision();
  void FetchSheetFromStore();
  void FetchSheetFromPeer(const internal::FetchFromPeer& fetch);
  void ApplyPeerSheet(const Json::Value& answer);
  void OnSheetChanged(std::uint64_t revision);
  void ExecuteForDrains(const internal::ReplicaEffects& effects);
  void FetchDrainsFromStore();
  void FetchDrainsFromPeer(const internal::FetchFromPeer& fetch);
  void ApplyDrains(DrainState received);

  using ReplyHandler =
      std::function<void(framework::Reply<Json::Value, framework::JsonRpcFailure>)>;
  void Call(const std::string& address, const char* procedure, const Json::Value& message,
            std::chrono::milliseconds timeout, ReplyHandler handler);
  void Count(const char* name, const framework::MetricLabels& labels);

  FleetSettings settings;
  Dependencies dependencies;
  framework::JsonRpcClient rpc;
  internal::Membership membership;
  internal::ReplicaTracker sheet_tracker;
  internal::ReplicaTracker drain_tracker;
  std::shared_ptr<internal::DrainStore> drain_store;
  DrainState drains;
  FleetView view;
  std::optional<framework::MonotonicTime> last_batch_call;  ///< Last call of the batch process.
  std::uint64_t view_version = 0;
  std::uint64_t view_epoch;
  framework::MonotonicTime started_at;
  int list_ticks = 0;
  bool terminating = false;
  bool was_ready = false;
  bool polls_store = true;
  internal::Membership::Counts reported_counts;
  std::vector<std::function<void()>> handlers;
  std::vector<framework::TimerSubscription> timers;
  internal::PendingCalls calls;
};

}  // namespace lentilhead::fleet
