#include "control/internal/control_state.h"

#include <utility>

#include "framework/log_event.h"

namespace lentilhead::control {

namespace {

using framework::LogEvent;
using framework::Severity;

/// Age of the last answered request to the entry process from which its view and sheet count as
/// stale.
constexpr std::chrono::seconds kMaxConfirmationAge{10};

std::chrono::minutes TimeOfDay(framework::WallTime now) {
  const auto since_epoch = std::chrono::floor<std::chrono::minutes>(now.time_since_epoch());
  return since_epoch % std::chrono::minutes(24 * 60);
}

const char* NameOf(internal::OrderResult result) {
  switch (result) {
    case internal::OrderResult::kDone:
      return "done";
    case internal::OrderResult::kStaleToken:
      return "stale_token";
    case internal::OrderResult::kRefused:
      return "refused";
    case internal::OrderResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

bool ControlModule::State::HasRecentConfirmation() const {
  const auto confirmed = this->dependencies.fleet.LastConfirmed();
  return confirmed && this->dependencies.timers.Now() - *confirmed < kMaxConfirmationAge;
}

void ControlModule::State::TickReconciler() {
  if (!this->IsLeader() || !this->HasRecentConfirmation() || this->on_leave_done) {
    if (!this->IsLeader()) {
      this->reconciler.Stop();
    }
    return;
  }
  this->ReadLists();
  if (!this->reconciler.IsRunning() || this->running_epoch != this->lease.Epoch()) {
    this->StartReconciler();
    return;
  }
  if (this->listed.size() < this->endpoints.services.size()) {
    return;
  }
  this->reconciler.SetSheet(this->dependencies.sheet.Current());
  this->UpdateEndpoints();
  this->StepReconciler();
}

void ControlModule::State::StepReconciler() {
  if (this->IsLeader() && this->HasRecentConfirmation() && !this->on_leave_done) {
    this->Run(this->reconciler.OnTick(TimeOfDay(this->dependencies.timers.WallNow()),
                                      this->dependencies.timers.Now()));
  }
}

void ControlModule::State::StartReconciler() {
  if (this->reading_record) {
    return;
  }
  this->reading_record = true;
  this->store.ReadRecord([weak = weak_from_this(), epoch = this->lease.Epoch()](const auto& reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    self->reading_record = false;
    if (!reply) {
      self->dependencies.metrics.GetCounter("control_record_failures_total", {{"step", "read"}})
          .Add();
      return;
    }
    if (self->IsLeader() && epoch == self->lease.Epoch()) {
      self->running_epoch = epoch;
      self->reconciler.Start(reply.Value());
      LogEvent(Severity::kInfo, "reconciliation_started").With("epoch", epoch);
    }
  });
}

void ControlModule::State::ReadLists() {
  for (const endpoint::ServiceSettings& service : this->endpoints.services) {
    this->dependencies.list.Fetch(
        service.name, [weak = weak_from_this(), service](const auto& reply) {
          const auto self = weak.lock();
          if (!self) {
            return;
          }
          if (!reply) {
            self->dependencies.metrics.GetCounter("control_list_failures_total").Add();
            return;
          }
          std::vector<internal::ManagedEndpoint> live;
          for (const datastore::ListedInstance& entry : reply.Value()) {
            if (entry.state == datastore::ListedState::kLive) {
              live.push_back(
                  {entry.name, service.name, entry.address, entry.zone, service.fencing_checked});
            }
          }
          self->listed[service.name] = std::move(live);
        });
  }
}

void ControlModule::State::UpdateEndpoints() {
  const std::set<std::string>& drained = this->dependencies.fleet.DrainedEndpoints();
  std::vector<internal::ManagedEndpoint> usable;
  for (const auto& [service, live] : this->listed) {
    const endpoint::ServiceSettings* service_settings = this->endpoints.FindService(service);
    if (service_settings == nullptr || service_settings->kind != endpoint::ServiceKind::kModel) {
      continue;
    }
    for (const internal::ManagedEndpoint& endpoint : live) {
      if (!drained.contains(endpoint.name)) {
        usable.push_back(endpoint);
      }
    }
  }
  this->reconciler.SetEndpoints(usable);
}

void ControlModule::State::Run(const internal::ControlActions& actions) {
  for (const internal::ControlAction& action : actions) {
    std::visit([this](const auto& each) { this->Run(each); }, action);
  }
}

void ControlModule::State::Run(const internal::Observe& action) {
  this->endpoint_client.Observe(
      action.endpoint,
      [this, name = action.endpoint.name, epoch = this->running_epoch](const auto& observed) {
        if (epoch != this->running_epoch) {
          return;
        }
        this->Run(this->reconciler.OnObserved(name, observed, this->dependencies.timers.Now()));
        this->StepReconciler();
      });
}

void ControlModule::State::Run(const internal::SendOrder& action) {
  const std::string& name = action.endpoint.name;
  const auto end = [this, name, kind = action.kind,
                    epoch = this->running_epoch](internal::OrderResult result) {
    this->dependencies.metrics
        .GetCounter("control_orders_total",
                    {{"kind", internal::NameOf(kind)}, {"result", NameOf(result)}})
        .Add();
    LogEvent(Severity::kInfo, "order_ended")
        .With("endpoint", name)
        .With("kind", internal::NameOf(kind))
        .With("result", NameOf(result));
    if (epoch != this->running_epoch) {
      return;
    }
    this->Run(this->reconciler.OnOrderEnded(name, kind, result, this->dependencies.timers.Now()));
    this->StepReconciler();
  };
  if (!this->IsLeader()) {
    end(internal::OrderResult::kUnknown);
    return;
  }
  LogEvent(Severity::kInfo, "order_sent")
      .With("endpoint", name)
      .With("kind", internal::NameOf(action.kind))
      .With("model", action.desired.model)
      .With("version", action.desired.version)
      .With("fencing_token", this->lease.Epoch());
  this->endpoint_client.Send(action, this->lease.Epoch(), end);
}

void ControlModule::State::Run(const internal::CheckEndpoint& action) {
  this->endpoint_client.Check(
      action, [this, name = action.endpoint.name, epoch = this->running_epoch](bool passed) {
        if (epoch != this->running_epoch) {
          return;
        }
        LogEvent(Severity::kInfo, "endpoint_checked").With("endpoint", name).With("passed", passed);
        this->Run(this->reconciler.OnChecked(name, passed, this->dependencies.timers.Now()));
        this->StepReconciler();
      });
}

void ControlModule::State::Run(const internal::StoreRecord& action) {
  this->store.WriteRecord(
      action.record, [weak = weak_from_this(), epoch = this->running_epoch](const auto& reply) {
        const auto self = weak.lock();
        if (!self || epoch != self->running_epoch) {
          return;
        }
        self->reconciler.OnRecordStored(static_cast<bool>(reply));
        if (reply) {
          self->StepReconciler();
          return;
        }
        self->dependencies.metrics.GetCounter("control_record_failures_total", {{"step", "write"}})
            .Add();
        if (reply.Error().kind == datastore::TableErrorKind::kConflict) {
          // Another leader has replaced the record. The next tick starts from the stored one.
          self->reconciler.Stop();
        }
      });
}

void ControlModule::State::Run(const internal::ReportHalt& action) {
  this->dependencies.metrics
      .GetCounter("control_rollouts_halted_total", {{"reason", action.halt.reason}})
      .Add();
  LogEvent(Severity::kError, "rollout_halted")
      .With("service", action.halt.service)
      .With("model", action.model)
      .With("version", action.version)
      .With("endpoint", action.halt.endpoint)
      .With("reason", action.halt.reason);
}

void ControlModule::State::Run(const internal::StepDown& /*action*/) {
  LogEvent(Severity::kWarning, "leader_lease_lost").With("reason", "stale_fencing_token");
  this->reconciler.Stop();
  this->lease.OnConflict();
}

void ControlModule::State::UpdateMetrics() {
  framework::Metrics& metrics = this->dependencies.metrics;
  const bool leads = this->IsLeader() && this->reconciler.IsRunning();
  const auto count = [](std::size_t size) { return static_cast<std::int64_t>(size); };
  metrics.GetGauge("control_leader").Set(this->IsLeader() ? 1 : 0);
  metrics.GetGauge("control_endpoints_pending")
      .Set(leads ? count(this->reconciler.PendingCount()) : 0);
  metrics.GetGauge("control_rollouts_halted")
      .Set(leads ? count(this->reconciler.Record().halted.size()) : 0);
}

}  // namespace lentilhead::control
