#include <algorithm>
#include <utility>

#include "control/internal/control_state.h"
#include "framework/hash.h"
#include "framework/log_event.h"

namespace lentilhead::control {

namespace {

using datastore::TableErrorKind;
using framework::LogEvent;
using framework::Severity;

constexpr char kLeaderKey[] = "leader";
constexpr int kTicksPerRenewal = 4;

internal::LeaseParameters LeaseParametersOf(const ControlSettings& settings) {
  return {settings.lease_duration, settings.lease_renewal, settings.lease_margin,
          settings.order_timeout};
}

internal::ReconcilerParameters ReconcilerParametersOf(const ControlSettings& settings) {
  internal::ReconcilerParameters parameters;
  parameters.observe_period = settings.reconcile_period;
  parameters.settle_time = settings.order_timeout;
  parameters.drain_timeout = settings.drain_timeout;
  parameters.load_time = settings.load_time;
  parameters.loads_at_once = settings.loads_at_once;
  return parameters;
}

}  // namespace

ControlModule::State::State(const ControlSettings& settings,
                            const endpoint::EndpointSettings& endpoints, std::string instance_name,
                            Dependencies dependencies)
    : settings(settings),
      endpoints(endpoints),
      instance_name(std::move(instance_name)),
      dependencies(dependencies),
      store(dependencies.table, dependencies.writer),
      endpoint_client(dependencies.http, settings.order_timeout,
                      std::max(settings.order_timeout, settings.load_time * 2)),
      lease(this->instance_name, framework::RandomId(), LeaseParametersOf(settings)),
      reconciler(ReconcilerParametersOf(settings)) {}

void ControlModule::State::Start() {
  framework::TimerService& timer_service = this->dependencies.timers;
  this->timers.push_back(timer_service.Every(this->settings.lease_renewal / kTicksPerRenewal,
                                             [this] { this->TickLease(); }));
  this->timers.push_back(
      timer_service.Every(this->settings.reconcile_period, [this] { this->TickReconciler(); }));
}

bool ControlModule::State::IsLeader() const {
  return this->lease.MaySendOrders(this->dependencies.timers.Now());
}

bool ControlModule::State::IsCandidate() const {
  if (this->on_leave_done) {
    return false;
  }
  const std::vector<std::string> owners = this->dependencies.fleet.View().OwnerNames();
  const auto order = framework::RendezvousOrder(kLeaderKey, owners);
  const std::size_t count =
      std::min(order.size(), static_cast<std::size_t>(this->settings.candidates));
  return std::any_of(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                     [&](std::size_t index) { return owners[index] == this->instance_name; });
}

void ControlModule::State::TickLease() {
  const bool held = this->lease.IsHeld(this->dependencies.timers.Now());
  this->Run(this->lease.OnTick(this->IsCandidate(), this->dependencies.timers.Now()));
  if (held && !this->lease.IsHeld(this->dependencies.timers.Now())) {
    LogEvent(Severity::kWarning, "leader_lease_lost").With("reason", "expired");
  }
  this->UpdateMetrics();
  this->TryRelease();
}

void ControlModule::State::Run(const internal::LeaseEffect& effect) {
  if (std::holds_alternative<internal::ReadLease>(effect)) {
    this->ReadLease();
  } else if (const auto* write = std::get_if<internal::WriteLease>(&effect)) {
    this->WriteLease(write->row);
  }
}

void ControlModule::State::ReadLease() {
  this->store.ReadLease([weak = weak_from_this()](const auto& reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (!reply) {
      self->dependencies.metrics.GetCounter("control_lease_failures_total", {{"step", "read"}})
          .Add();
      self->lease.OnReadFailed();
      return;
    }
    self->Run(self->lease.OnRead(reply.Value(), self->dependencies.timers.Now()));
  });
}

void ControlModule::State::WriteLease(const internal::LeaseRow& row) {
  this->store.WriteLease(
      row, this->settings.lease_renewal,
      [weak = weak_from_this(), taken = row.renewal == 0](const auto& reply) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        if (reply && reply.Value()) {
          if (taken) {
            LogEvent(Severity::kInfo, "leader_lease_taken").With("epoch", reply.Value()->epoch);
          }
          self->lease.OnWritten(*reply.Value(), self->dependencies.timers.Now());
          return;
        }
        const bool conflict = !reply && reply.Error().kind == TableErrorKind::kConflict;
        self->dependencies.metrics
            .GetCounter("control_lease_failures_total",
                        {{"step", conflict ? "write_conflict" : "write"}})
            .Add();
        if (conflict) {
          self->lease.OnConflict();
        } else {
          self->lease.OnWriteFailed();
        }
      });
}

void ControlModule::State::Leave(std::function<void()> done) {
  this->on_leave_done = std::move(done);
  this->TryRelease();
}

void ControlModule::State::TryRelease() {
  if (!this->on_leave_done) {
    return;
  }
  const bool running = this->reconciler.IsRunning();
  if (running && this->reconciler.IsBusy()) {
    return;
  }
  this->reconciler.Stop();
  const internal::LeaseEffect effect = this->lease.Release();
  if (const auto* write = std::get_if<internal::WriteLease>(&effect)) {
    this->store.WriteLease(
        write->row, this->settings.lease_renewal, [weak = weak_from_this()](const auto& /*reply*/) {
          const auto self = weak.lock();
          if (self && self->on_leave_done) {
            LogEvent(Severity::kInfo, "leader_lease_released").With("epoch", self->running_epoch);
            std::exchange(self->on_leave_done, nullptr)();
          }
        });
    this->timers.clear();
    return;
  }
  if (!this->lease.IsHeld(this->dependencies.timers.Now())) {
    this->timers.clear();
    std::exchange(this->on_leave_done, nullptr)();
  }
}

}  // namespace lentilhead::control
