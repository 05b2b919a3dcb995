#include "sheet/internal/sheet_columns.h"

#include <algorithm>

namespace lentilhead::sheet::internal {

SheetColumns SheetColumns::Read(const CsvRecord& header, std::vector<SheetProblem>& problems) {
  SheetColumns columns;
  columns.count = header.fields.size();
  for (std::size_t position = 0; position < header.fields.size(); ++position) {
    const std::string& name = header.fields[position];
    const auto* known = std::find(kColumnNames.begin(), kColumnNames.end(), name);
    if (known == kColumnNames.end()) {
      problems.push_back(
          {SheetProblemKind::kUnknownColumn, header.line, name, "the column is unknown"});
      continue;
    }
    auto& slot = columns.positions[static_cast<std::size_t>(known - kColumnNames.begin())];
    if (slot) {
      problems.push_back(
          {SheetProblemKind::kUnknownColumn, header.line, name, "the column appears twice"});
      continue;
    }
    slot = position;
  }
  for (std::size_t index = 0; index < kColumnNames.size(); ++index) {
    if (!columns.positions[index]) {
      problems.push_back({SheetProblemKind::kMissingColumn, header.line,
                          std::string(kColumnNames[index]), "the column is missing"});
    }
  }
  return columns;
}

}  // namespace lentilhead::sheet::internal
