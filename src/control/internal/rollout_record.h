#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace lentilhead::control::internal {

/// Change of an endpoint, which is out of use meanwhile, to another model or version.
struct RolloutStep {
  std::string service;
  std::string model;
  std::string version;

  bool operator==(const RolloutStep&) const = default;
};

/// Halt of a roll-out because the version failed at an endpoint.
struct RolloutHalt {
  std::string service;
  std::string endpoint;
  std::string reason;

  bool operator==(const RolloutHalt&) const = default;
};

/// Stored state of the roll-outs, which a later leader continues from and operators can read.
struct RolloutRecord {
  std::uint64_t sheet_revision = 0;
  std::map<std::string, RolloutStep> in_progress;  ///< By endpoint.
  std::map<std::string, RolloutHalt> halted;       ///< By service, model and version.
  std::set<std::string> withheld;                  ///< Endpoints that a roll-out left drained.

  bool operator==(const RolloutRecord&) const = default;
};

nlohmann::json ToJson(const RolloutRecord& record);

/// @return no value if the JSON is not a valid record.
std::optional<RolloutRecord> RecordFromJson(const nlohmann::json& value);

}  // namespace lentilhead::control::internal
