#pragma once

#include <string_view>

#include "framework/result.h"
#include "sheet/types/sheet.h"
#include "sheet/types/sheet_problem.h"

namespace lentilhead::sheet {

/// Parses the CSV text of a sheet.
///
/// The header row is `service,model,version,adapter,capacity,zones,roles,window`; zones and roles
/// are lists split by `|`; the window is `HH:MM-HH:MM` or empty.
/// @return the sheet, or SheetProblems with every fault.
framework::Result<Sheet> ParseSheet(std::string_view csv);

}  // namespace lentilhead::sheet
