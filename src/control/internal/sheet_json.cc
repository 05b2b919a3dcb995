#include "control/internal/sheet_json.h"

#include <cstdio>

namespace lentilhead::control::internal {

namespace {

std::string TimeOfDay(std::chrono::minutes time) {
  std::array<char, 16> text{};
  const int minutes = static_cast<int>(time.count());
  std::snprintf(text.data(), text.size(), "%02d:%02d", minutes / 60, minutes % 60);
  return text.data();
}

const char* NameOf(sheet::SheetProblemKind kind) {
  switch (kind) {
    case sheet::SheetProblemKind::kInvalidCsv:
      return "invalid_csv";
    case sheet::SheetProblemKind::kMissingColumn:
      return "missing_column";
    case sheet::SheetProblemKind::kUnknownColumn:
      return "unknown_column";
    case sheet::SheetProblemKind::kMissingValue:
      return "missing_value";
    case sheet::SheetProblemKind::kInvalidValue:
      return "invalid_value";
    case sheet::SheetProblemKind::kDuplicateRow:
      return "duplicate_row";
    case sheet::SheetProblemKind::kEmptySheet:
      return "empty_sheet";
  }
  return "unknown";
}

nlohmann::json RowsToJson(const std::vector<sheet::SheetRow>& rows) {
  nlohmann::json list = nlohmann::json::array();
  for (const sheet::SheetRow& row : rows) {
    list.push_back(RowToJson(row));
  }
  return list;
}

}  // namespace

nlohmann::json RowToJson(const sheet::SheetRow& row) {
  nlohmann::json roles = nlohmann::json::array();
  for (const sheet::Role role : row.roles) {
    roles.push_back(role == sheet::Role::kOnline ? "online" : "batch");
  }
  return {{"service", row.service},
          {"model", row.model},
          {"version", row.version},
          {"adapter", row.adapter},
          {"capacity", row.capacity},
          {"zones", row.zones},
          {"roles", roles},
          {"window", TimeOfDay(row.window.start) + "-" + TimeOfDay(row.window.end)}};
}

nlohmann::json SheetToJson(const sheet::AcceptedSheet& accepted) {
  return {{"revision", accepted.revision},
          {"csv", accepted.csv},
          {"rows", RowsToJson(accepted.sheet.rows)}};
}

nlohmann::json DiffToJson(const SheetDiff& diff) {
  nlohmann::json changed = nlohmann::json::array();
  for (const auto& [before, after] : diff.changed) {
    changed.push_back({{"before", RowToJson(before)}, {"after", RowToJson(after)}});
  }
  return {{"added", RowsToJson(diff.added)},
          {"removed", RowsToJson(diff.removed)},
          {"changed", changed}};
}

nlohmann::json HistoryToJson(const std::vector<sheet::SheetHistoryEntry>& history) {
  nlohmann::json list = nlohmann::json::array();
  for (const sheet::SheetHistoryEntry& entry : history) {
    const auto accepted = entry.accepted_at.time_since_epoch();
    list.push_back({{"revision", entry.revision},
                    {"submitted_by", entry.submitted_by},
                    {"accepted_at_ms",
                     std::chrono::duration_cast<std::chrono::milliseconds>(accepted).count()},
                    {"digest", entry.digest}});
  }
  return list;
}

nlohmann::json ProblemsToJson(const sheet::SheetProblems& problems) {
  nlohmann::json list = nlohmann::json::array();
  for (const sheet::SheetProblem& problem : problems.problems) {
    list.push_back({{"kind", NameOf(problem.kind)},
                    {"row", problem.row},
                    {"column", problem.column},
                    {"message", problem.message}});
  }
  return list;
}

}  // namespace lentilhead::control::internal
