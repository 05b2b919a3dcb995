#include "control/internal/rollout_record.h"

namespace lentilhead::control::internal {

nlohmann::json ToJson(const RolloutRecord& record) {
  nlohmann::json value = {{"sheet_revision", record.sheet_revision},
                          {"in_progress", nlohmann::json::object()},
                          {"halted", nlohmann::json::object()},
                          {"withheld", record.withheld}};
  for (const auto& [endpoint, step] : record.in_progress) {
    value["in_progress"][endpoint] = {{"endpoint", endpoint},
                                      {"service", step.service},
                                      {"model", step.model},
                                      {"version", step.version}};
  }
  for (const auto& [key, halt] : record.halted) {
    value["halted"][key] = {
        {"service", halt.service}, {"endpoint", halt.endpoint}, {"reason", halt.reason}};
  }
  return value;
}

std::optional<RolloutRecord> RecordFromJson(const nlohmann::json& value) {
  try {
    RolloutRecord record;
    record.sheet_revision = value.at("sheet_revision").get<std::uint64_t>();
    for (const auto& [endpoint, step] : value.at("in_progress").items()) {
      record.in_progress[endpoint] = {step.at("service").get<std::string>(),
                                      step.at("model").get<std::string>(),
                                      step.at("version").get<std::string>()};
    }
    for (const auto& [key, halt] : value.at("halted").items()) {
      record.halted[key] = {halt.at("service").get<std::string>(),
                            halt.at("endpoint").get<std::string>(),
                            halt.at("reason").get<std::string>()};
    }
    record.withheld = value.at("withheld").get<std::set<std::string>>();
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace lentilhead::control::internal
