#pragma once

#include <functional>
#include <memory>
#include <string>

#include "load/types/experiment.h"
#include "load/types/fleet_file.h"
#include "load/types/load_report.h"

namespace lentilhead::load {

/// Runs an experiment against a fleet.
class LoadRun {
 public:
  LoadRun(Experiment experiment, FleetFile fleet);
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;
  ~LoadRun();

  /// Runs every phase, waits for the jobs and returns the report. Blocks the calling thread.
  LoadReport Run();

 private:
  class State;

  std::unique_ptr<State> state;
};

}  // namespace lentilhead::load
