#pragma once

#include <nlohmann/json.hpp>

#include "control/types/sheet_diff.h"
#include "sheet/types/sheet.h"
#include "sheet/types/sheet_history_entry.h"
#include "sheet/types/sheet_problem.h"

namespace lentilhead::control::internal {

/// JSON renderings for the operator API.
nlohmann::json RowToJson(const sheet::SheetRow& row);
nlohmann::json SheetToJson(const sheet::AcceptedSheet& accepted);
nlohmann::json DiffToJson(const SheetDiff& diff);
nlohmann::json HistoryToJson(const std::vector<sheet::SheetHistoryEntry>& history);
nlohmann::json ProblemsToJson(const sheet::SheetProblems& problems);

}  // namespace lentilhead::control::internal
