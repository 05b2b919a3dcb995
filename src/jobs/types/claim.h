#pragma once

#include <cstdint>
#include <string>

#include "rowstore/types/row.h"

namespace lentilhead::jobs {

/// Where a job stands.
enum class JobState {
  kOpen,   ///< items are left
  kDone,   ///< every item is listed
  kEnded,  ///< its caller has ended it
};

/// The row of a job that names its owner. Who writes results expects the version of this row, so
/// that an owner that was replaced can list nothing any more.
struct Claim {
  std::string job;
  std::string owner;  ///< start of a node; empty when it was handed back
  std::string host;   ///< host as the submitter named it
  JobState state = JobState::kOpen;
  std::uint64_t total = 0;
  std::int64_t accepted_unix_ms = 0;
  std::int64_t results_due_ms = 0;    ///< after the acceptance
  std::int64_t give_up_after_ms = 0;  ///< after the acceptance; 0 for never
  int max_attempts = 1;
  bool spec_in_object = false;  ///< the items lie in an object, not in rows
  rowstore::Version version = 0;
};

}  // namespace lentilhead::jobs
