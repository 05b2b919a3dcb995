#include "endpoint/internal/load_report_parser.h"

#include <nlohmann/json.hpp>

namespace lentilhead::endpoint::internal {

std::optional<LoadReport> ParseLoadReport(std::string_view body) {
  const nlohmann::json root = nlohmann::json::parse(body, nullptr, false);
  if (!root.is_object()) {
    return std::nullopt;
  }
  try {
    LoadReport report;
    report.running = root.at("running").get<int>();
    report.waiting = root.at("waiting").get<int>();
    report.slots = root.at("slots").get<int>();
    report.draining = root.value("draining", false);
    report.model = root.value("model", "");
    report.version = root.value("version", "");
    report.adapters = root.value("adapters", std::vector<std::string>{});
    report.role = root.value("role", "");
    const bool in_range = report.running >= 0 && report.waiting >= 0 && report.slots >= 1;
    return in_range ? std::optional(report) : std::nullopt;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace lentilhead::endpoint::internal
