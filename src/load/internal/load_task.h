#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/http_client.h"
#include "framework/task.h"
#include "load/arrival_clock.h"
#include "load/call_planner.h"
#include "load/internal/entry_balancer.h"
#include "load/internal/online_call.h"
#include "load/types/experiment.h"
#include "load/types/fleet_file.h"
#include "load/types/load_report.h"

namespace lentilhead::load::internal {

/// Makes one task's share of the online calls of an experiment.
class LoadTask {
 public:
  using Tallies = std::map<std::pair<std::string, std::string>, WorkloadTally>;

  /// @param index 0-based index of this task. @param run identifier of the run.
  /// @param on_finished called once, on the task's thread, when every call has ended.
  LoadTask(const Experiment& experiment, const FleetFile& fleet, int index, const std::string& run,
           std::function<void()> on_finished);
  LoadTask(const LoadTask&) = delete;
  LoadTask& operator=(const LoadTask&) = delete;

  void Start();
  void Stop();

  /// Returns the tallies of the ended calls. Call it after Stop().
  [[nodiscard]] const Tallies& Result() const { return this->tallies; }

 private:
  struct Source {
    const Workload* workload;
    ArrivalClock clock;
    framework::TimerSubscription timer;
  };

  void SetUp();
  void TearDown();
  void ScheduleNext(Source& source);
  void MakeCall(const Workload& workload);
  void EndCall(std::uint64_t id, const std::string& phase, const Workload& workload,
               const CallResult& result);
  void FinishIfDone();
  [[nodiscard]] const Phase* PhaseAt(std::chrono::nanoseconds since_start) const;

  const Experiment& experiment;
  const FleetFile& fleet;
  int index;
  std::function<void()> on_finished;
  framework::Task task;
  std::unique_ptr<framework::HttpClient> http;
  std::unique_ptr<EntryBalancer> balancer;
  CallPlanner planner;
  std::vector<std::unique_ptr<Source>> sources;
  std::unordered_map<std::uint64_t, std::unique_ptr<OnlineCall>> calls;
  framework::TimerSubscription removal_timer;
  std::vector<std::unique_ptr<OnlineCall>> ended_calls;
  framework::MonotonicTime started;
  std::chrono::nanoseconds total_duration{0};
  std::uint64_t next_call = 0;
  std::size_t active_sources = 0;
  bool finished = false;
  Tallies tallies;
};

}  // namespace lentilhead::load::internal
