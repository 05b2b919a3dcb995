#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "load/types/experiment.h"
#include "load/types/job_result.h"
#include "load/workload_tally.h"

namespace lentilhead::load {

/// Result of an experiment.
struct LoadReport {
  std::string experiment;
  std::uint64_t seed = 0;
  std::vector<Phase> phases;
  /// Tallies by phase and workload.
  std::map<std::pair<std::string, std::string>, WorkloadTally> tallies;
  std::vector<JobResult> jobs;
  /// Counters of refusals, retries and outcomes, summed over the instances.
  std::map<std::string, double> counters;

  /// Returns true if no answer was cut or wrong and every job is complete.
  [[nodiscard]] bool IsClean() const;
};

}  // namespace lentilhead::load
