#pragma once

#include <cstdint>
#include <string>

#include "rowstore/types/row.h"

namespace lentilhead::jobs {

enum class JobState {
  kOpen,       ///< items remain
  kDone,       ///< the results of all items are committed
  kEnded,      ///< ended by its caller
  kSubmitted,  ///< stored, but not accepted yet: no item runs
};

/// The main row of a job: its owner, state and limits. A transaction that writes results expects
/// the version of this row, so an owner that has been replaced can no longer write any.
struct Claim {
  std::string job;
  std::string owner;  ///< incarnation of a node; empty while no node owns the job
  std::string host;   ///< host that the submission named
  JobState state = JobState::kOpen;
  std::uint64_t total = 0;
  std::int64_t accepted_unix_ms = 0;
  std::int64_t results_due_ms = 0;    ///< since the job was accepted
  std::int64_t give_up_after_ms = 0;  ///< since the job was accepted; 0 for never
  std::string customer;               ///< name of the job's customer; empty if there are none
  std::string route;                  ///< host and path prefix of the job's route
  std::int64_t waiting_tokens = 0;    ///< tokens of the items without a committed result
  /// Version of the configuration that the job was accepted by; -1 if a node of an older version
  /// wrote the claim.
  std::int64_t config_version = -1;
  int max_attempts = 1;         ///< failed runs after which an item is given up
  bool spec_in_object = false;  ///< the items are stored in an object, not in rows
  rowstore::Version version = 0;
};

}  // namespace lentilhead::jobs
