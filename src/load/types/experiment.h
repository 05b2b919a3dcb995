#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "load/types/workload.h"

namespace lentilhead::load {

/// Part of an experiment whose measures are reported on their own.
struct Phase {
  std::string name;
  std::chrono::milliseconds duration{0};
};

/// Batch job that is submitted in a phase.
struct JobPlan {
  std::string name;
  std::string phase;
  std::chrono::milliseconds at{0};  ///< From the start of the phase.
  std::string caller;
  std::string service;
  std::string model;
  int items = 0;
  int max_tokens = 16;
  double poison_share = 0;  ///< Share of items that the endpoint always fails.
  std::chrono::milliseconds deadline{0};
};

/// Signal to a process of the fleet, by its name in the fleet file.
struct SignalFault {
  std::string process;
  int signal = 0;
};

/// Request to a switch of a stand-in.
struct StandinFault {
  std::string target;  ///< `platform` or the name of an endpoint.
  std::string path;
  std::string body;  ///< JSON.
};

/// Fault that is provoked in a phase.
struct ScheduledFault {
  std::string phase;
  std::chrono::milliseconds at{0};  ///< From the start of the phase.
  std::variant<SignalFault, StandinFault> fault;
};

/// A whole experiment.
struct Experiment {
  std::string name;
  std::uint64_t seed = 1;
  int tasks = 2;
  std::chrono::milliseconds settle{60'000};  ///< Longest wait for jobs after the last phase.
  std::vector<Phase> phases;
  std::vector<Workload> workloads;
  std::vector<JobPlan> jobs;
  std::vector<ScheduledFault> faults;
};

}  // namespace lentilhead::load
