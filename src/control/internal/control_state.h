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

/// Wires the lease and the reconciliation to timers, the table and the endpoints.
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
  std::uint64_t running_epoch = 0;  ///< Epoch that the reconciler was started for.
  bool reading_record = false;
  std::map<std::string, std::vector<internal::ManagedEndpoint>> listed;  ///< By service.
  std::function<void()> on_leave_done;
  std::vector<framework::TimerSubscription> timers;
};

}  // namespace lentilhead::control
