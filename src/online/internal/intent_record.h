#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "datastore/types/table_row.h"
#include "framework/types/time_types.h"
#include "online/internal/attempt_effects.h"

namespace lentilhead::online::internal {

enum class IntentState { kPending, kCompleted, kNotRun, kUnknown };

/// Row of the platform's table that permits one send of a call that must run at most once.
struct IntentRecord {
  IntentState state = IntentState::kPending;
  std::string digest;  ///< SHA-256 of the call's content.
  std::string owner;   ///< Identifier of the request that claimed the intent.
  int run = 1;         ///< Number of the claim under its key, from 1.
  framework::WallTime created_at;
  framework::WallTime expires_at;
  int status = 0;         ///< For kCompleted.
  AnswerHeaders headers;  ///< For kCompleted.
  std::string body;       ///< For kCompleted; empty if it is not stored.
  bool body_kept = true;  ///< False if the body was too long or not UTF-8.
};

/// Location of a call's record in the table.
struct IntentRowKey {
  std::string partition;
  std::string key;
};

inline constexpr int kIntentPartitions = 256;

/// Name of one of the partitions that hold intents.
std::string IntentPartition(int index);

/// Location of the record for a caller's idempotency key.
IntentRowKey RowKeyOf(const std::string& caller, const std::string& idempotency_key);

nlohmann::json ToJson(const IntentRecord& record);

/// Removes the properties of a recorded answer.
void RemoveAnswer(nlohmann::json& value);

/// @return the record, or no value if the row holds no valid one.
std::optional<IntentRecord> ReadIntent(const nlohmann::json& value);

}  // namespace lentilhead::online::internal
