#include "control_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace lentilhead::control::internal {

namespace {

using framework::MonotonicTime;
using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{250};
constexpr milliseconds kCheckPeriod{50};
constexpr int kMaxTableLatencyMs = 50;
constexpr int kMaxOrderLatencyMs = 800;
constexpr milliseconds kOrderTimeout{2'000};

ReconcilerParameters ShortPeriodParameters() {
  ReconcilerParameters parameters;
  parameters.observe_period = milliseconds(500);
  parameters.sweep_period = milliseconds(3'000);
  return parameters;
}

}  // namespace

ControlSimulation::ControlSimulation(int controller_count, int endpoint_count, std::uint64_t seed,
                                     InjectedFault fault)
    : random(seed), fault(fault), controllers(static_cast<std::size_t>(controller_count)) {
  for (int index = 0; index < endpoint_count; ++index) {
    FakeEndpoint endpoint;
    endpoint.info = {"endpoint-" + std::to_string(index), "profiles", "", index % 2 ? "a" : "b",
                     index % 2 == 0};
    endpoint.state.model = "writer";
    endpoint.state.version = "1";
    endpoint.state.role = "online|batch";
    this->endpoints.push_back(std::move(endpoint));
  }
  LeaseParameters lease;
  if (fault == InjectedFault::kNoMargin) {
    lease.margin = milliseconds(-4'000);
  }
  for (int index = 0; index < controller_count; ++index) {
    Controller& controller = this->controllers[static_cast<std::size_t>(index)];
    const std::string name = "controller-" + std::to_string(index);
    controller.lease = std::make_unique<LeaderLease>(name, name, lease);
    controller.reconciler = std::make_unique<Reconciler>(ShortPeriodParameters());
    this->ticks.push_back(this->timers->Every(kTickPeriod, [this, index] { this->Tick(index); }));
  }
  this->ticks.push_back(this->timers->Every(kCheckPeriod, [this] { this->CheckInvariants(); }));
  this->min_in_use = endpoint_count;
}

void ControlSimulation::Run(milliseconds time) { this->timers->AdvanceBy(time); }

void ControlSimulation::SetSheet(const std::string& version, int capacity) {
  auto next = std::make_shared<sheet::AcceptedSheet>();
  next->revision = this->sheet->revision + 1;
  sheet::SheetRow row;
  row.service = "profiles";
  row.model = "writer";
  row.version = version;
  row.capacity = capacity;
  next->sheet.rows.push_back(row);
  this->sheet = std::move(next);
}

void ControlSimulation::Pause(int index, milliseconds time) {
  Controller& controller = this->controllers[static_cast<std::size_t>(index)];
  controller.paused_until = this->timers->Now() + time;
  this->After(time, [&controller] {
    const auto deferred = std::move(controller.deferred);
    controller.deferred.clear();
    for (const auto& action : deferred) {
      action();
    }
  });
}

void ControlSimulation::Deliver(int index, milliseconds delay, std::function<void()> action) {
  this->After(delay, [this, index, action = std::move(action)] {
    Controller& controller = this->controllers[static_cast<std::size_t>(index)];
    if (this->timers->Now() < controller.paused_until) {
      controller.deferred.push_back(action);
    } else {
      action();
    }
  });
}

void ControlSimulation::Tick(int index) {
  Controller& controller = this->controllers[static_cast<std::size_t>(index)];
  const MonotonicTime now = this->timers->Now();
  if (now < controller.paused_until) {
    return;
  }
  this->RunLease(index, controller.lease->OnTick(true, now));
  if (!controller.lease->MaySendOrders(now)) {
    controller.reconciler->Stop();
    return;
  }
  if (!controller.reconciler->IsRunning() || controller.epoch != controller.lease->Epoch()) {
    controller.epoch = controller.lease->Epoch();
    this->record_epoch = std::max(this->record_epoch, controller.epoch);
    controller.reconciler->Start(this->record);
  }
  std::vector<ManagedEndpoint> live;
  for (const FakeEndpoint& endpoint : this->endpoints) {
    if (endpoint.up) {
      live.push_back(endpoint.info);
    }
  }
  controller.reconciler->SetSheet(this->sheet);
  controller.reconciler->SetEndpoints(live);
  this->RunActions(index, controller.reconciler->OnTick(std::chrono::minutes(0), now));
}

void ControlSimulation::RunLease(int index, const LeaseEffect& effect) {
  LeaderLease& lease = *this->controllers[static_cast<std::size_t>(index)].lease;
  if (std::holds_alternative<ReadLease>(effect)) {
    this->Deliver(index, this->RandomLatency(kMaxTableLatencyMs), [this, index, &lease] {
      if (this->table_down) {
        lease.OnReadFailed();
      } else {
        this->RunLease(index, lease.OnRead(this->lease_row, this->timers->Now()));
      }
    });
  } else if (const auto* write = std::get_if<WriteLease>(&effect)) {
    this->After(this->RandomLatency(kMaxTableLatencyMs),
                [this, index, row = write->row] { this->WriteLeaseRow(index, row); });
  }
}

void ControlSimulation::WriteLeaseRow(int index, LeaseRow row) {
  LeaderLease& lease = *this->controllers[static_cast<std::size_t>(index)].lease;
  const auto latency = this->RandomLatency(kMaxTableLatencyMs);
  if (this->table_down) {
    this->Deliver(index, latency, [&lease] { lease.OnWriteFailed(); });
    return;
  }
  const std::string current = this->lease_row ? this->lease_row->etag : "";
  if (row.etag != current) {
    this->Deliver(index, latency, [&lease] { lease.OnConflict(); });
    return;
  }
  row.etag = std::to_string(this->next_etag++);
  if (this->fault == InjectedFault::kNoLeaseWait) {
    row.duration = milliseconds(0);
    row.max_order_duration = milliseconds(0);
  }
  this->lease_row = row;
  if (this->IsAnswerLost()) {
    this->Deliver(index, latency, [&lease] { lease.OnWriteFailed(); });
    return;
  }
  this->Deliver(index, latency, [this, &lease, row] { lease.OnWritten(row, this->timers->Now()); });
}

void ControlSimulation::RunActions(int index, const ControlActions& actions) {
  Controller& controller = this->controllers[static_cast<std::size_t>(index)];
  Reconciler& reconciler = *controller.reconciler;
  for (const ControlAction& action : actions) {
    if (const auto* observe = std::get_if<Observe>(&action)) {
      const std::string name = observe->endpoint.name;
      this->Deliver(
          index, this->RandomLatency(kMaxTableLatencyMs), [this, index, name, &reconciler] {
            const FakeEndpoint& endpoint = this->Find(name);
            ObservedState seen = endpoint.state;
            seen.idle = seen.draining;
            if (this->fault == InjectedFault::kFalseReadBack) {
              const auto wanted = reconciler.Desired().find(name);
              if (wanted != reconciler.Desired().end() && endpoint.orders > 2) {
                seen.version = wanted->second.version;
              }
            }
            const bool answers = endpoint.up && !this->IsAnswerLost();
            this->RunActions(
                index, reconciler.OnObserved(name, answers ? std::optional(seen) : std::nullopt,
                                             this->timers->Now()));
          });
    } else if (const auto* order = std::get_if<SendOrder>(&action)) {
      this->Send(index, *order);
    } else if (const auto* check = std::get_if<CheckEndpoint>(&action)) {
      const std::string name = check->endpoint.name;
      this->Deliver(
          index, this->RandomLatency(kMaxTableLatencyMs), [this, index, name, &reconciler] {
            const FakeEndpoint& endpoint = this->Find(name);
            const bool passed = endpoint.up && endpoint.state.version != endpoint.failing_version;
            this->RunActions(index, reconciler.OnChecked(name, passed, this->timers->Now()));
          });
    } else if (const auto* store = std::get_if<StoreRecord>(&action)) {
      this->After(this->RandomLatency(kMaxTableLatencyMs),
                  [=, this, &reconciler, epoch = controller.epoch, next = store->record] {
                    const bool stored = !this->table_down && epoch >= this->record_epoch;
                    if (stored) {
                      this->record = next;
                    }
                    this->Deliver(index, milliseconds(1),
                                  [&reconciler, stored] { reconciler.OnRecordStored(stored); });
                  });
    } else if (std::holds_alternative<ReportHalt>(action)) {
      this->halts += 1;
    } else if (std::holds_alternative<StepDown>(action)) {
      controller.lease->OnConflict();
    }
  }
}

void ControlSimulation::Send(int index, const SendOrder& order) {
  Controller& controller = this->controllers[static_cast<std::size_t>(index)];
  const std::uint64_t token = controller.epoch;
  const auto ended = std::make_shared<bool>(false);
  const auto end = [=, this](OrderResult result) {
    if (!std::exchange(*ended, true)) {
      Reconciler& reconciler = *this->controllers[static_cast<std::size_t>(index)].reconciler;
      this->RunActions(index, reconciler.OnOrderEnded(order.endpoint.name, order.kind, result,
                                                      this->timers->Now()));
    }
  };
  // A pause between the decision and the write to the socket delays the whole order.
  this->Deliver(index, milliseconds(1), [=, this] {
    this->After(this->RandomLatency(kMaxOrderLatencyMs), [=, this] {
      const OrderResult result = this->ExecuteOrder(this->Find(order.endpoint.name), order, token);
      if (!this->IsAnswerLost()) {
        this->Deliver(index, this->RandomLatency(kMaxTableLatencyMs), [=] { end(result); });
      }
    });
    this->Deliver(index, kOrderTimeout, [=] { end(OrderResult::kUnknown); });
  });
}

OrderResult ControlSimulation::ExecuteOrder(FakeEndpoint& endpoint, const SendOrder& order,
                                            std::uint64_t token) {
  if (!endpoint.up) {
    return OrderResult::kUnknown;
  }
  if (endpoint.info.fencing_checked && token < endpoint.token) {
    return OrderResult::kStaleToken;
  }
  this->stale_order =
      this->stale_order || (endpoint.info.fencing_checked && token < endpoint.token);
  endpoint.token = std::max(endpoint.token, token);
  endpoint.orders += 1;
  if (order.kind == OrderKind::kLoad) {
    endpoint.state.model = order.desired.model;
    endpoint.state.version = order.desired.version;
    endpoint.state.role = order.desired.role;
  } else {
    endpoint.state.draining = order.kind == OrderKind::kDrain;
  }
  return OrderResult::kDone;
}

void ControlSimulation::CheckInvariants() {
  const MonotonicTime now = this->timers->Now();
  const auto leaders =
      std::count_if(this->controllers.begin(), this->controllers.end(),
                    [now](const Controller& each) { return each.lease->MaySendOrders(now); });
  this->two_leaders = this->two_leaders || leaders > 1;
  this->min_in_use = std::min(this->min_in_use, this->CountInUse());
}

int ControlSimulation::CountServing(const std::string& version) const {
  return static_cast<int>(
      std::count_if(this->endpoints.begin(), this->endpoints.end(), [&](const auto& each) {
        return each.up && !each.state.draining && each.state.version == version;
      }));
}

int ControlSimulation::CountInUse() const {
  return static_cast<int>(
      std::count_if(this->endpoints.begin(), this->endpoints.end(),
                    [](const auto& each) { return each.up && !each.state.draining; }));
}

void ControlSimulation::After(milliseconds delay, std::function<void()> action) {
  const std::uint64_t id = this->next_event++;
  this->events[id] = this->timers->After(delay, [this, id, action = std::move(action)] {
    // Keeps the subscription alive until the action has returned.
    const auto subscription = std::move(this->events[id]);
    this->events.erase(id);
    action();
  });
}

milliseconds ControlSimulation::RandomLatency(int max_ms) {
  return milliseconds(1 + static_cast<int>(this->random() % static_cast<unsigned>(max_ms)));
}

bool ControlSimulation::IsAnswerLost() {
  return std::uniform_real_distribution<double>(0, 1)(this->random) < this->answer_loss;
}

FakeEndpoint& ControlSimulation::Find(const std::string& name) {
  return *std::find_if(this->endpoints.begin(), this->endpoints.end(),
                       [&name](const FakeEndpoint& each) { return each.info.name == name; });
}

}  // namespace lentilhead::control::internal
