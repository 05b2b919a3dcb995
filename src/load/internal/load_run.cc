#include "load/load_run.h"

#include <utility>

#include "framework/hash.h"
#include "framework/http_client.h"
#include "framework/mailbox.h"
#include "framework/timer_service.h"
#include "load/internal/counter_reader.h"
#include "load/internal/fault_injector.h"
#include "load/internal/job_run.h"
#include "load/internal/load_task.h"

namespace lentilhead::load {

namespace {

constexpr std::chrono::milliseconds kWakePeriod{50};

/// Message of a load task whose calls have all ended.
struct TaskFinished {};

}  // namespace

class LoadRun::State {
 public:
  State(Experiment experiment, FleetFile fleet)
      : experiment(std::move(experiment)),
        fleet(std::move(fleet)),
        run(framework::RandomId().substr(0, 8)),
        timers(framework::TimerService::OnMainContext(nullptr)),
        http(*this->timers),
        faults(this->fleet, this->http),
        counters(this->fleet.operator_urls, this->http),
        mailbox(g_main_context_default(), [this](TaskFinished) { this->running_tasks -= 1; }) {}

  LoadReport Run() {
    this->StartTasks();
    this->ScheduleJobsAndFaults();
    const auto total_duration = this->StartOfPhase("");
    const framework::MonotonicTime end = this->timers->Now() + total_duration;
    // Wakes the main loop regularly, so that the loops below check the time.
    this->wake_timer = this->timers->Every(kWakePeriod, [] {});
    while (this->running_tasks > 0 || this->timers->Now() < end) {
      g_main_context_iteration(nullptr, TRUE);
    }
    const framework::MonotonicTime job_deadline = this->timers->Now() + this->experiment.settle;
    while (!this->JobsEnded() && this->timers->Now() < job_deadline) {
      g_main_context_iteration(nullptr, TRUE);
    }
    return this->Collect();
  }

 private:
  void StartTasks() {
    this->running_tasks = this->experiment.tasks;
    const auto sender = this->mailbox.Sender();
    for (int index = 0; index < this->experiment.tasks; ++index) {
      this->tasks.push_back(std::make_unique<internal::LoadTask>(
          this->experiment, this->fleet, index, this->run, [sender] { sender(TaskFinished{}); }));
    }
    for (const auto& task : this->tasks) {
      task->Start();
    }
  }

  void ScheduleJobsAndFaults() {
    for (const JobPlan& plan : this->experiment.jobs) {
      const auto key = this->fleet.keys.find(plan.caller);
      this->jobs.push_back(std::make_unique<internal::JobRun>(
          plan, this->run, this->experiment.seed, this->fleet.entry_urls,
          key == this->fleet.keys.end() ? "" : key->second, this->http, *this->timers));
      this->schedule.push_back(
          this->timers->After(this->StartOfPhase(plan.phase) + plan.at,
                              [job = this->jobs.back().get()] { job->Start(); }));
    }
    for (const ScheduledFault& scheduled : this->experiment.faults) {
      this->schedule.push_back(
          this->timers->After(this->StartOfPhase(scheduled.phase) + scheduled.at,
                              [this, &scheduled] { this->faults.Inject(scheduled); }));
    }
  }

  /// Returns the time from the start of the run to the start of a phase, or to the end of the last
  /// phase for an unknown name.
  [[nodiscard]] std::chrono::milliseconds StartOfPhase(const std::string& name) const {
    std::chrono::milliseconds start{0};
    for (const Phase& phase : this->experiment.phases) {
      if (phase.name == name) {
        return start;
      }
      start += phase.duration;
    }
    return start;
  }

  [[nodiscard]] bool JobsEnded() const {
    for (const auto& job : this->jobs) {
      if (!job->HasEnded()) {
        return false;
      }
    }
    return true;
  }

  LoadReport Collect() {
    LoadReport report;
    report.experiment = this->experiment.name;
    report.seed = this->experiment.seed;
    report.phases = this->experiment.phases;
    for (const auto& task : this->tasks) {
      task->Stop();
      for (const auto& [key, tally] : task->Result()) {
        report.tallies[key].Merge(tally);
      }
    }
    for (const auto& job : this->jobs) {
      report.jobs.push_back(job->Result());
    }
    report.counters = this->counters.Read();
    return report;
  }

  Experiment experiment;
  FleetFile fleet;
  std::string run;
  std::unique_ptr<framework::TimerService> timers;
  framework::HttpClient http;
  internal::FaultInjector faults;
  internal::CounterReader counters;
  framework::Mailbox<TaskFinished> mailbox;
  std::vector<std::unique_ptr<internal::LoadTask>> tasks;
  std::vector<std::unique_ptr<internal::JobRun>> jobs;
  std::vector<framework::TimerSubscription> schedule;
  framework::TimerSubscription wake_timer;
  int running_tasks = 0;
};

LoadRun::LoadRun(Experiment experiment, FleetFile fleet)
    : state(std::make_unique<State>(std::move(experiment), std::move(fleet))) {}

LoadRun::~LoadRun() = default;

LoadReport LoadRun::Run() { return this->state->Run(); }

}  // namespace lentilhead::load
