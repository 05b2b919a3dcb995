#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "datastore/types/table_row.h"
#include "framework/types/time_types.h"
#include "online/internal/attempt_effects.h"

namespace lentilhead::online::internal {

enum class IntentState { kPending, kCompleted, kNotRun, kUnknown };

/// Row of the platform's table that allows one send of a call that must not run twice.
struct IntentRecord {
  IntentState state = IntentState::kPending;
  std::string digest;  ///< SHA-256 of the call's content.
  std::string owner;   ///< Identifier of the request that wrote the intent.
  int run = 1;         ///< Number of the intent under its key.
  framework::WallTime created_at;
  framework::WallTime expires_at;
  int status = 0;         ///< For kCompleted.
  AnswerHeaders headers;  ///< For kCompleted.
  std::string body;       ///< For kCompleted, if it is kept.
  bool body_kept = true;
};

/// Where the record of a call stands in the table.
struct IntentRowKey {
  std::string partition;
  std::string key;
};

inline constexpr int kIntentPartitions = 256;

/// Name of one of the partitions that hold intents.
std::string IntentPartition(int index);

/// Place of the record of a caller's idempotency key.
IntentRowKey RowKeyOf(const std::string& caller, const std::string& idempotency_key);

nlohmann::json ToJson(const IntentRecord& record);

/// Removes the properties of a recorded answer.
void RemoveAnswer(nlohmann::json& value);

/// @return the record, or no value if the row is not a valid one.
std::optional<IntentRecord> ReadIntent(const nlohmann::json& value);

}  // namespace lentilhead::online::internal
