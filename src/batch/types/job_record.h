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

/// Returns the snake_case name of a state.
const char* NameOf(JobState state);

/// What happens to items that no endpoint owner holds when the deadline passes.
enum class LatePolicy { kRun, kDrop };

/// Result objects that the owner of one epoch committed, numbered 1 to `count`.
struct CommitRange {
  std::uint64_t epoch = 0;
  std::uint64_t count = 0;

  bool operator==(const CommitRange&) const = default;
};

/// Failed attempts of one item.
struct ItemFailures {
  int attempts = 0;      ///< A lost attempt counts only if the item ran alone.
  bool suspect = false;  ///< Its endpoint or endpoint owner was lost during an attempt; it runs
                         ///< alone from now on.

  bool operator==(const ItemFailures&) const = default;
};

/// The stored value is not a valid job record.
struct JobRecordError {
  std::string detail;
};

/// Row of one job in the table. Every change is one conditional write, so that a commit, a cancel
/// and a takeover exclude each other.
struct JobRecord {
  static framework::Result<JobRecord> FromJson(const nlohmann::json& value);
  [[nodiscard]] nlohmann::json ToJson() const;

  std::string id;
  std::string caller;
  std::string service;
  std::string digest;  ///< SHA-256 of the submission.
  std::string upload;  ///< Identifier of the upload that stored the item objects of the job.
  JobState state = JobState::kOpen;
  LatePolicy late = LatePolicy::kRun;
  bool at_most_once = false;      ///< At least one item is a call that must not be repeated.
  bool deadline_at_risk = false;  ///< The job has missed its deadline or probably will.
  std::size_t items = 0;
  std::size_t segment_items = 1;
  framework::WallTime created{};
  framework::WallTime deadline{};
  framework::WallTime ended{};
  std::uint64_t epoch = 0;  ///< Increases with each takeover; fences off earlier owners.
  std::string holder;       ///< `instance/run` of the owner; empty if it handed the job over.
  std::vector<CommitRange> commits;
  ItemBitmap done;
  std::size_t succeeded = 0;
  std::size_t failed = 0;
  std::size_t unknown = 0;
  std::size_t declared = 0;         ///< Items from this index on were never granted.
  std::vector<std::uint32_t> solo;  ///< Suspected items that may be granted now, each to run alone.
  std::map<std::uint32_t, ItemFailures> item_failures;
};

}  // namespace lentilhead::batch
