#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "batch/types/item_bitmap.h"
#include "framework/result.h"
#include "framework/types/time_types.h"

namespace lentilhead::batch {

enum class JobState { kOpen, kFinished, kCancelled };

/// Name of a state in snake_case.
const char* NameOf(JobState state);

/// What happens to items that have not started when the deadline passes.
enum class LatePolicy { kRun, kDrop };

/// Result objects 1 to `count` that the owner of one epoch committed.
struct CommitRange {
  std::uint64_t epoch = 0;
  std::uint64_t count = 0;

  bool operator==(const CommitRange&) const = default;
};

/// Failed attempts of one item.
struct ItemFailures {
  int attempts = 0;      ///< Attempts that ran and failed.
  bool suspect = false;  ///< Its endpoint or owner died while it ran; it runs alone from now on.

  bool operator==(const ItemFailures&) const = default;
};

/// Stored value that is not a job record.
struct JobRecordError {
  std::string detail;
};

/// The row of one job. Every change is one conditional write, so a commit, a cancel and a change of
/// owner exclude each other.
struct JobRecord {
  static framework::Result<JobRecord> FromJson(const nlohmann::json& value);
  [[nodiscard]] nlohmann::json ToJson() const;

  std::string id;
  std::string caller;
  std::string service;
  std::string digest;  ///< SHA-256 of the submission.
  std::string upload;  ///< Attempt of the submission whose item objects count.
  JobState state = JobState::kOpen;
  LatePolicy late = LatePolicy::kRun;
  bool at_most_once = false;      ///< Has a call that must not be repeated.
  bool deadline_at_risk = false;  ///< Reported early: the deadline will probably be missed.
  std::size_t items = 0;
  std::size_t segment_items = 1;
  framework::WallTime created{};
  framework::WallTime deadline{};
  framework::WallTime ended{};
  std::uint64_t epoch = 0;  ///< Number of the lease; grows with each owner.
  std::string holder;       ///< Run of the owner; empty if it handed the job back.
  std::vector<CommitRange> commits;
  ItemBitmap done;
  std::size_t succeeded = 0;
  std::size_t failed = 0;
  std::size_t unknown = 0;
  std::size_t declared = 0;         ///< Items from here on were never handed out.
  std::vector<std::uint32_t> solo;  ///< Suspects that may run alone now.
  std::map<std::uint32_t, ItemFailures> item_failures;
};

}  // namespace lentilhead::batch
