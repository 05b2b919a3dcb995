#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "load/types/workload.h"

namespace lentilhead::load {

/// Part of an experiment, whose measurements are reported separately.
struct Phase {
  std::string name;
  std::chrono::milliseconds duration{0};
};

/// Batch job that is submitted in a phase.
struct JobPlan {
  std::string name;
  std::string phase;
  std::chrono::milliseconds at{0};  ///< Time from the start of the phase.
  std::string caller;
  std::string service;
  std::string model;
  int items = 0;
  int max_tokens = 16;
  double poison_share = 0;  ///< Share of items that every endpoint fails.
  std::chrono::milliseconds deadline{0};
};

/// Signal to a process of the fleet, which the fleet file lists by name.
struct SignalFault {
  std::string process;
  int signal = 0;
};

/// Request to a fault route of a stand-in.
struct StandinFault {
  std::string target;  ///< `platform` or the name of an endpoint.
  std::string path;
  std::string body;  ///< JSON.
};

/// Fault that is injected in a phase.
struct ScheduledFault {
  std::string phase;
  std::chrono::milliseconds at{0};  ///< Time from the start of the phase.
  std::variant<SignalFault, StandinFault> fault;
};

/// Phases, workloads, jobs and faults of a load experiment.
struct Experiment {
  std::string name;
  std::uint64_t seed = 1;
  int tasks = 2;
  std::chrono::milliseconds settle{60'000};  ///< Maximum wait for jobs after the last phase.
  std::vector<Phase> phases;
  std::vector<Workload> workloads;
  std::vector<JobPlan> jobs;
  std::vector<ScheduledFault> faults;
};

}  // namespace lentilhead::load
