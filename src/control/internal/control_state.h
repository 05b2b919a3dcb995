#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control_module.h"
#include "control/internal/control_store.h"
#include "control/internal/endpoint_client.h"
#include "control/internal/leader_lease.h"
#include "control/internal/reconciler.h"

namespace lentilhead::control {

/// Connects LeaderLease and Reconciler, which do no I/O, with the timers, the table and the
/// endpoints.
class ControlModule::State : public std::enable_shared_from_this<ControlModule::State> {
 public:
  State(const ControlSettings& settings, const endpoint::EndpointSettings& endpoints,
        std::string instance_name, Dependencies dependencies);

  void Start();
  void Leave(std::function<void()> done);
  [[nodiscard]] bool IsLeader() const;

 private:
  void TickLease();
  [[nodiscard]] bool IsCandidate() const;
  void Run(const internal::LeaseEffect& effect);
  void ReadLease();
  void WriteLease(const internal::LeaseRow& row);

  void TickReconciler();
  void StepReconciler();
  [[nodiscard]] bool HasRecentConfirmation() const;
  void StartReconciler();
  void ReadLists();
  void UpdateEndpoints();
  void Run(const internal::ControlActions& actions);
  void Run(const internal::Observe& action);
  void Run(const internal::SendOrder& action);
  void Run(const internal::CheckEndpoint& action);
  void Run(const internal::StoreRecord& action);
  void Run(const internal::ReportHalt& action);
  void Run(const internal::StepDown& action);
  void UpdateMetrics();
  void TryRelease();

  ControlSettings settings;
  endpoint::EndpointSettings endpoints;
  std::string instance_name;
  Dependencies dependencies;
  internal::ControlStore store;
  internal::EndpointClient endpoint_client;
  internal::LeaderLease lease;
  internal::Reconciler reconciler;
  std::uint64_t running_epoch = 0;  ///< Lease epoch for which the reconciler was last started.
  bool reading_record = false;
  /// Live endpoints by service.
  std::map<std::string, std::vector<internal::ManagedEndpoint>> listed;
  std::function<void()> on_leave_done;
  std::vector<framework::TimerSubscription> timers;
};

}  // namespace lentilhead::control
