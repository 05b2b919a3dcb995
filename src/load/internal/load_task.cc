#include "load/internal/load_task.h"

#include <utility>

#include "framework/hash.h"

namespace lentilhead::load::internal {

namespace {

std::uint64_t SeedOf(const Experiment& experiment, int index, const std::string& name) {
  return framework::Hash(name, experiment.seed * 1'000 + static_cast<std::uint64_t>(index));
}

}  // namespace

LoadTask::LoadTask(const Experiment& experiment, const FleetFile& fleet, int index,
                   const std::string& run, std::function<void()> on_finished)
    : experiment(experiment),
      fleet(fleet),
      index(index),
      on_finished(std::move(on_finished)),
      task("load-" + std::to_string(index)),
      planner(run + "-" + std::to_string(index), SeedOf(experiment, index, "planner")) {
  for (const Phase& phase : experiment.phases) {
    this->total_duration += phase.duration;
  }
}

void LoadTask::Start() {
  this->task.Start([this] { this->SetUp(); }, [this] { this->TearDown(); });
}

void LoadTask::Stop() { this->task.Stop(); }

void LoadTask::SetUp() {
  this->http = std::make_unique<framework::HttpClient>(this->task.Timers());
  this->balancer =
      std::make_unique<EntryBalancer>(this->fleet.entry_urls, *this->http, this->task.Timers());
  this->started = this->task.Timers().Now();
  for (const Workload& workload : this->experiment.workloads) {
    ArrivalClock clock(workload.arrivals, 1.0 / this->experiment.tasks,
                       SeedOf(this->experiment, this->index, workload.name));
    this->sources.push_back(std::make_unique<Source>(Source{&workload, clock, {}}));
  }
  this->active_sources = this->sources.size();
  for (const auto& source : this->sources) {
    this->ScheduleNext(*source);
  }
  this->FinishIfDone();
}

void LoadTask::TearDown() {
  this->sources.clear();
  this->calls.clear();
  this->ended_calls.clear();
  this->removal_timer.Cancel();
  this->balancer.reset();
  this->http.reset();
}

void LoadTask::ScheduleNext(Source& source) {
  const std::chrono::nanoseconds at = source.clock.Next();
  if (at < std::chrono::nanoseconds(0) || at >= this->total_duration) {
    this->active_sources -= 1;
    this->FinishIfDone();
    return;
  }
  const std::chrono::nanoseconds since_start = this->task.Timers().Now() - this->started;
  const auto delay = std::max(std::chrono::nanoseconds(0), at - since_start);
  source.timer = this->task.Timers().After(delay, [this, &source] {
    this->MakeCall(*source.workload);
    this->ScheduleNext(source);
  });
}

void LoadTask::MakeCall(const Workload& workload) {
  const Phase* phase = this->PhaseAt(this->task.Timers().Now() - this->started);
  const std::uint64_t id = this->next_call++;
  const auto key = this->fleet.keys.find(workload.caller);
  CallPlan plan = this->planner.Plan(workload, this->balancer->NextUrl(),
                                     key == this->fleet.keys.end() ? "" : key->second);
  auto call = std::make_unique<OnlineCall>(std::move(plan), *this->http, this->task.Timers());
  OnlineCall& started_call = *call;
  this->calls.emplace(id, std::move(call));
  started_call.Start([this, id, phase, &workload](const CallResult& result) {
    this->EndCall(id, phase->name, workload, result);
  });
}

void LoadTask::EndCall(std::uint64_t id, const std::string& phase, const Workload& workload,
                       const CallResult& result) {
  this->tallies[{phase, workload.name}].Add(result);
  // This runs in a method of the call, so the call is destroyed in a later main loop iteration.
  const auto found = this->calls.find(id);
  this->ended_calls.push_back(std::move(found->second));
  this->calls.erase(found);
  this->removal_timer = this->task.Timers().After(std::chrono::nanoseconds(0), [this] {
    this->ended_calls.clear();
    this->FinishIfDone();
  });
}

void LoadTask::FinishIfDone() {
  if (this->finished || this->active_sources > 0 || !this->calls.empty()) {
    return;
  }
  this->finished = true;
  this->on_finished();
}

const Phase* LoadTask::PhaseAt(std::chrono::nanoseconds since_start) const {
  for (const Phase& phase : this->experiment.phases) {
    if (since_start < phase.duration) {
      return &phase;
    }
    since_start -= phase.duration;
  }
  return &this->experiment.phases.back();
}

}  // namespace lentilhead::load::internal
