#include "online/internal/intent_record.h"

#include <array>

#include "framework/hash.h"

namespace lentilhead::online::internal {

namespace {

using std::chrono::milliseconds;

constexpr std::array<const char*, 4> kStateNames = {"pending", "completed", "not_run", "unknown"};

std::int64_t ToMilliseconds(framework::WallTime time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

framework::WallTime FromMilliseconds(std::int64_t count) {
  return framework::WallTime(milliseconds(count));
}

std::optional<IntentState> StateOf(const std::string& name) {
  for (std::size_t index = 0; index < kStateNames.size(); ++index) {
    if (name == kStateNames.at(index)) {
      return static_cast<IntentState>(index);
    }
  }
  return std::nullopt;
}

}  // namespace

std::string IntentPartition(int index) { return "intent-" + std::to_string(index); }

IntentRowKey RowKeyOf(const std::string& caller, const std::string& idempotency_key) {
  const std::string key = framework::Sha256Hex(caller + '\n' + idempotency_key);
  const auto index = static_cast<int>(framework::Hash(key) % kIntentPartitions);
  return {IntentPartition(index), key};
}

nlohmann::json ToJson(const IntentRecord& record) {
  nlohmann::json value;
  value["state"] = kStateNames.at(static_cast<std::size_t>(record.state));
  value["digest"] = record.digest;
  value["owner"] = record.owner;
  value["run"] = record.run;
  value["created_at_ms"] = ToMilliseconds(record.created_at);
  value["expires_at_ms"] = ToMilliseconds(record.expires_at);
  if (record.state == IntentState::kCompleted) {
    value["status"] = record.status;
    value["headers"] = record.headers;
    value["body"] = record.body;
    value["body_kept"] = record.body_kept;
  }
  return value;
}

void RemoveAnswer(nlohmann::json& value) {
  for (const char* key : {"status", "headers", "body", "body_kept"}) {
    value.erase(key);
  }
}

std::optional<IntentRecord> ReadIntent(const nlohmann::json& value) {
  try {
    IntentRecord record;
    const auto state = StateOf(value.at("state").get<std::string>());
    if (!state) {
      return std::nullopt;
    }
    record.state = *state;
    record.digest = value.at("digest").get<std::string>();
    record.owner = value.at("owner").get<std::string>();
    record.run = value.at("run").get<int>();
    record.created_at = FromMilliseconds(value.at("created_at_ms").get<std::int64_t>());
    record.expires_at = FromMilliseconds(value.at("expires_at_ms").get<std::int64_t>());
    if (record.state == IntentState::kCompleted) {
      record.status = value.at("status").get<int>();
      record.headers = value.at("headers").get<AnswerHeaders>();
      record.body = value.at("body").get<std::string>();
      record.body_kept = value.at("body_kept").get<bool>();
    }
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace lentilhead::online::internal
