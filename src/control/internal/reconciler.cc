#include "control/internal/reconciler.h"

#include <algorithm>
#include <utility>

namespace lentilhead::control::internal {

namespace {

using framework::MonotonicTime;
using std::chrono::minutes;

std::string HaltKey(const std::string& service, const DesiredState& wanted) {
  return service + "/" + wanted.model + "/" + wanted.version;
}

}  // namespace

const char* NameOf(OrderKind kind) {
  switch (kind) {
    case OrderKind::kLoad:
      return "load";
    case OrderKind::kDrain:
      return "drain";
    case OrderKind::kUndrain:
      return "undrain";
  }
  return "unknown";
}

Reconciler::Reconciler(ReconcilerParameters parameters) : parameters(parameters) {}

void Reconciler::Start(RolloutRecord from_table) {
  this->running = true;
  this->record = from_table;
  this->stored = std::move(from_table);
  this->storing.reset();
  for (auto& [name, tracked] : this->tracked_endpoints) {
    tracked = TrackedEndpoint{tracked.endpoint};
  }
}

void Reconciler::Stop() { this->running = false; }

void Reconciler::SetSheet(std::shared_ptr<const sheet::AcceptedSheet> accepted) {
  this->assignment_stale = this->assignment_stale || this->sheet != accepted;
  this->sheet = std::move(accepted);
}

void Reconciler::SetEndpoints(const std::vector<ManagedEndpoint>& endpoints) {
  std::map<std::string, TrackedEndpoint> next;
  bool changed = endpoints.size() != this->tracked_endpoints.size();
  for (const ManagedEndpoint& endpoint : endpoints) {
    const auto found = this->tracked_endpoints.find(endpoint.name);
    const bool same = found != this->tracked_endpoints.end() && found->second.endpoint == endpoint;
    changed = changed || !same;
    next.emplace(endpoint.name, same ? std::move(found->second) : TrackedEndpoint{endpoint});
  }
  this->tracked_endpoints = std::move(next);
  this->assignment_stale = this->assignment_stale || changed;
}

ControlActions Reconciler::OnTick(minutes now_of_day, MonotonicTime now) {
  ControlActions actions;
  // A leader whose sheet is older than that of an earlier leader would undo the earlier changes.
  if (!this->running || !this->sheet || this->sheet->revision < this->record.sheet_revision) {
    return actions;
  }
  if (this->sheet->revision > this->record.sheet_revision) {
    this->record.sheet_revision = this->sheet->revision;
    this->record.halted.clear();
    std::erase_if(this->record.withheld, [this](const std::string& name) {
      return !this->tracked_endpoints.contains(name);
    });
  }
  this->DropStepsOfLostEndpoints();
  this->UpdateDesired(now_of_day);
  for (auto& [name, tracked] : this->tracked_endpoints) {
    this->StepEndpoint(tracked, now, actions);
  }
  if (!this->storing && !(this->record == this->stored)) {
    this->storing = this->record;
    actions.emplace_back(StoreRecord{this->record});
  }
  return actions;
}

void Reconciler::UpdateDesired(minutes now_of_day) {
  if (!this->assignment_stale && now_of_day == this->time_of_day) {
    return;
  }
  this->assignment_stale = false;
  this->time_of_day = now_of_day;
  std::vector<ManagedEndpoint> endpoints;
  endpoints.reserve(this->tracked_endpoints.size());
  for (const auto& [name, tracked] : this->tracked_endpoints) {
    endpoints.push_back(tracked.endpoint);
  }
  this->desired = Assign(RowsToServe(this->sheet->sheet, now_of_day, this->LeadTime()), endpoints);
}

void Reconciler::DropStepsOfLostEndpoints() {
  std::erase_if(this->record.in_progress, [this](const auto& entry) {
    const bool lost = !this->tracked_endpoints.contains(entry.first);
    if (lost) {
      this->record.withheld.insert(entry.first);
    }
    return lost;
  });
}

void Reconciler::StepEndpoint(TrackedEndpoint& tracked, MonotonicTime now,
                              ControlActions& actions) {
  if (tracked.activity != Activity::kNone) {
    return;
  }
  if (!tracked.observe_at || now >= *tracked.observe_at) {
    if (this->CountObserving() >= this->parameters.observations_at_once) {
      return;
    }
    tracked.activity = Activity::kObserving;
    actions.emplace_back(Observe{tracked.endpoint});
    return;
  }
  if (!tracked.observed) {
    return;
  }
  const std::string& name = tracked.endpoint.name;
  const bool in_progress = this->record.in_progress.contains(name);
  const auto found = this->desired.find(name);
  if (found == this->desired.end()) {
    if (in_progress) {
      this->StepHalted(tracked, actions);
    }
    return;
  }
  const DesiredState wanted = found->second;
  if (this->IsHalted(tracked.endpoint.service, wanted)) {
    if (in_progress) {
      this->StepHalted(tracked, actions);
    }
    return;
  }
  if (in_progress) {
    this->StepInProgress(tracked, wanted, now, actions);
  } else if (this->NeedsChange(tracked, wanted) && this->MayStartStep(tracked, wanted)) {
    this->record.in_progress[name] = {tracked.endpoint.service, wanted.model, wanted.version};
    this->record.withheld.erase(name);
  }
}

bool Reconciler::NeedsChange(const TrackedEndpoint& tracked, const DesiredState& wanted) const {
  const bool withheld_draining =
      tracked.observed->draining && this->record.withheld.contains(tracked.endpoint.name);
  return withheld_draining || !tracked.observed->Serves(wanted);
}

void Reconciler::StepInProgress(TrackedEndpoint& tracked, const DesiredState& wanted,
                                MonotonicTime now, ControlActions& actions) {
  const std::string& name = tracked.endpoint.name;
  if (!this->stored.in_progress.contains(name)) {
    return;
  }
  RolloutStep& step = this->record.in_progress[name];
  if (step.model != wanted.model || step.version != wanted.version) {
    // A new sheet assigns another version to an endpoint that is already out of use.
    step = {tracked.endpoint.service, wanted.model, wanted.version};
    tracked.load_attempts = 0;
  }
  if (tracked.observed->Serves(wanted)) {
    if (tracked.observed->draining) {
      AddOrder(tracked, OrderKind::kUndrain, wanted, actions);
    } else {
      tracked.activity = Activity::kChecking;
      actions.emplace_back(CheckEndpoint{tracked.endpoint, wanted});
    }
    return;
  }
  // Changes of adapters or role need no drain.
  const bool needs_drain =
      !tracked.observed->model.empty() && !tracked.observed->HasVersion(wanted);
  if (!tracked.observed->draining && needs_drain) {
    tracked.drain_started = now;
    AddOrder(tracked, OrderKind::kDrain, wanted, actions);
    return;
  }
  this->LoadWhenIdle(tracked, wanted, now, actions);
}

void Reconciler::LoadWhenIdle(TrackedEndpoint& tracked, const DesiredState& wanted,
                              MonotonicTime now, ControlActions& actions) {
  const bool needs_drain =
      !tracked.observed->model.empty() && !tracked.observed->HasVersion(wanted);
  if (!tracked.observed->idle && needs_drain) {
    if (!tracked.drain_started) {
      tracked.drain_started = now;
    }
    if (now - *tracked.drain_started >= this->parameters.drain_timeout) {
      this->Halt(tracked, wanted, "drain_timeout", actions);
    }
    return;
  }
  if (tracked.load_attempts >= this->parameters.max_load_attempts) {
    this->Halt(tracked, wanted, "load_without_effect", actions);
    return;
  }
  tracked.load_attempts += 1;
  AddOrder(tracked, OrderKind::kLoad, wanted, actions);
}

void Reconciler::StepHalted(TrackedEndpoint& tracked, ControlActions& actions) {
  const std::string& name = tracked.endpoint.name;
  const bool failed_at_endpoint =
      std::any_of(this->record.halted.begin(), this->record.halted.end(),
                  [&name](const auto& entry) { return entry.second.endpoint == name; });
  const RolloutStep& step = this->record.in_progress[name];
  const bool has_new_version =
      tracked.observed->model == step.model && tracked.observed->version == step.version;
  // The endpoint at which the version failed stays drained; any other is used again.
  const bool stays_drained = failed_at_endpoint && has_new_version;
  if (tracked.observed->draining != stays_drained) {
    AddOrder(tracked, stays_drained ? OrderKind::kDrain : OrderKind::kUndrain, {}, actions);
    return;
  }
  if (stays_drained) {
    this->record.withheld.insert(name);
  }
  this->FinishStep(tracked);
}

void Reconciler::FinishStep(TrackedEndpoint& tracked) {
  this->record.in_progress.erase(tracked.endpoint.name);
  tracked.drain_started.reset();
  tracked.load_attempts = 0;
  tracked.load_ordered = false;
}

void Reconciler::AddOrder(TrackedEndpoint& tracked, OrderKind kind, const DesiredState& wanted,
                          ControlActions& actions) {
  tracked.activity = Activity::kOrdering;
  actions.emplace_back(SendOrder{tracked.endpoint, kind, wanted});
}

ControlActions Reconciler::OnObserved(const std::string& endpoint,
                                      const std::optional<ObservedState>& observed,
                                      MonotonicTime now) {
  ControlActions actions;
  const auto found = this->tracked_endpoints.find(endpoint);
  if (!this->running || found == this->tracked_endpoints.end() ||
      found->second.activity != Activity::kObserving) {
    return actions;
  }
  TrackedEndpoint& tracked = found->second;
  tracked.activity = Activity::kNone;
  tracked.observed = observed;
  const auto wanted = this->desired.find(endpoint);
  const bool as_wanted =
      observed && (wanted == this->desired.end() || observed->Serves(wanted->second));
  const bool in_progress = this->record.in_progress.contains(endpoint);
  tracked.observe_at = now + (as_wanted && !in_progress ? this->parameters.sweep_period
                                                        : this->parameters.observe_period);
  tracked.failed_observations = observed ? 0 : tracked.failed_observations + 1;
  if (!in_progress || tracked.failed_observations < this->parameters.max_failed_observations) {
    return actions;
  }
  if (tracked.load_ordered && wanted != this->desired.end()) {
    this->Halt(tracked, wanted->second, "silent_after_load", actions);
  }
  this->FinishStep(tracked);
  return actions;
}

ControlActions Reconciler::OnOrderEnded(const std::string& endpoint, OrderKind kind,
                                        OrderResult result, MonotonicTime now) {
  ControlActions actions;
  const auto found = this->tracked_endpoints.find(endpoint);
  if (!this->running || found == this->tracked_endpoints.end() ||
      found->second.activity != Activity::kOrdering) {
    return actions;
  }
  TrackedEndpoint& tracked = found->second;
  tracked.activity = Activity::kNone;
  tracked.observed.reset();
  tracked.observe_at = result == OrderResult::kUnknown ? now + this->parameters.settle_time : now;
  tracked.load_ordered =
      tracked.load_ordered || (kind == OrderKind::kLoad && result != OrderResult::kStaleToken);
  const auto wanted = this->desired.find(endpoint);
  if (result == OrderResult::kStaleToken) {
    actions.emplace_back(StepDown{});
  } else if (result == OrderResult::kRefused && kind == OrderKind::kLoad &&
             wanted != this->desired.end()) {
    this->Halt(tracked, wanted->second, "load_refused", actions);
  }
  return actions;
}

ControlActions Reconciler::OnChecked(const std::string& endpoint, bool passed, MonotonicTime now) {
  ControlActions actions;
  const auto found = this->tracked_endpoints.find(endpoint);
  if (!this->running || found == this->tracked_endpoints.end() ||
      found->second.activity != Activity::kChecking) {
    return actions;
  }
  TrackedEndpoint& tracked = found->second;
  tracked.activity = Activity::kNone;
  tracked.observe_at = now;
  const auto wanted = this->desired.find(endpoint);
  if (passed) {
    this->FinishStep(tracked);
  } else if (wanted != this->desired.end()) {
    this->Halt(tracked, wanted->second, "check_failed", actions);
  }
  return actions;
}

void Reconciler::OnRecordStored(bool was_stored) {
  if (was_stored && this->storing) {
    this->stored = *this->storing;
  }
  this->storing.reset();
}

void Reconciler::Halt(const TrackedEndpoint& tracked, const DesiredState& wanted,
                      const std::string& reason, ControlActions& actions) {
  const RolloutHalt halt{tracked.endpoint.service, tracked.endpoint.name, reason};
  this->record.halted[HaltKey(tracked.endpoint.service, wanted)] = halt;
  actions.emplace_back(ReportHalt{halt, wanted.model, wanted.version});
}

bool Reconciler::MayStartStep(const TrackedEndpoint& tracked, const DesiredState& wanted) const {
  const auto limit = static_cast<std::size_t>(this->parameters.loads_at_once);
  if (this->record.in_progress.size() >= limit) {
    return false;
  }
  if (!this->IsServing(tracked)) {
    return true;
  }
  const bool version_in_progress = std::any_of(
      this->record.in_progress.begin(), this->record.in_progress.end(), [&](const auto& entry) {
        return entry.second.service == tracked.endpoint.service &&
               entry.second.model == wanted.model && entry.second.version == wanted.version;
      });
  if (version_in_progress && !this->IsVerified(tracked.endpoint.service, wanted)) {
    return false;
  }
  return this->LeavesEnoughCapacity(tracked);
}

bool Reconciler::LeavesEnoughCapacity(const TrackedEndpoint& tracked) const {
  const std::string& service = tracked.endpoint.service;
  const std::string& model = tracked.observed->model;
  int serving = 0;
  int endpoint_count = 0;
  for (const auto& [name, other] : this->tracked_endpoints) {
    if (other.endpoint.service == service) {
      endpoint_count += 1;
      serving += this->IsServing(other) && other.observed->model == model ? 1 : 0;
    }
  }
  // If all endpoints are required, one may still be out of use for its step.
  const int min_serving = std::min(this->RequiredCapacity(service, model), endpoint_count - 1);
  return serving - 1 >= min_serving;
}

bool Reconciler::IsServing(const TrackedEndpoint& tracked) const {
  return tracked.observed && !tracked.observed->draining &&
         !this->record.in_progress.contains(tracked.endpoint.name) &&
         this->RequiredCapacity(tracked.endpoint.service, tracked.observed->model) > 0;
}

bool Reconciler::IsVerified(const std::string& service, const DesiredState& wanted) const {
  return std::any_of(this->tracked_endpoints.begin(), this->tracked_endpoints.end(),
                     [&](const auto& entry) {
                       const TrackedEndpoint& tracked = entry.second;
                       return tracked.endpoint.service == service && this->IsServing(tracked) &&
                              tracked.observed->model == wanted.model &&
                              tracked.observed->version == wanted.version;
                     });
}

bool Reconciler::IsHalted(const std::string& service, const DesiredState& wanted) const {
  return this->record.halted.contains(HaltKey(service, wanted));
}

int Reconciler::RequiredCapacity(const std::string& service, const std::string& model) const {
  int capacity = 0;
  for (const sheet::SheetRow& row : this->sheet->sheet.rows) {
    if (!model.empty() && row.service == service && row.model == model &&
        IsActive(row.window, this->time_of_day)) {
      capacity += row.capacity;
    }
  }
  return capacity;
}

minutes Reconciler::LeadTime() const {
  int capacity = 0;
  for (const sheet::SheetRow& row : this->sheet->sheet.rows) {
    capacity += row.capacity;
  }
  const int load_rounds = capacity / this->parameters.loads_at_once + 2;
  return std::chrono::ceil<minutes>(this->parameters.load_time * load_rounds);
}

int Reconciler::CountObserving() const {
  return static_cast<int>(std::count_if(
      this->tracked_endpoints.begin(), this->tracked_endpoints.end(),
      [](const auto& entry) { return entry.second.activity == Activity::kObserving; }));
}

bool Reconciler::IsBusy() const {
  return std::any_of(this->tracked_endpoints.begin(), this->tracked_endpoints.end(),
                     [](const auto& entry) {
                       const Activity activity = entry.second.activity;
                       return activity == Activity::kOrdering || activity == Activity::kChecking;
                     });
}

std::size_t Reconciler::PendingCount() const {
  std::size_t pending = 0;
  for (const auto& [name, wanted] : this->desired) {
    const auto found = this->tracked_endpoints.find(name);
    const bool as_wanted = found != this->tracked_endpoints.end() && found->second.observed &&
                           found->second.observed->Serves(wanted) &&
                           !found->second.observed->draining;
    pending += as_wanted ? 0 : 1;
  }
  return pending;
}

}  // namespace lentilhead::control::internal
