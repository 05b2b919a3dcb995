#include "sheet/sheet_parser.h"

#include <algorithm>
#include <utility>

#include "sheet/internal/row_reader.h"
#include "sheet/internal/window_map.h"

namespace lentilhead::sheet {

framework::Result<Sheet> ParseSheet(std::string_view csv) {
  SheetProblems found;
  const std::vector<internal::CsvRecord> records = internal::ReadCsv(csv, found.problems);
  if (records.empty()) {
    found.problems.push_back({SheetProblemKind::kEmptySheet, 0, "", "the sheet has no header"});
    return boost::leaf::new_error(std::move(found));
  }
  const auto columns = internal::SheetColumns::Read(records.front(), found.problems);
  Sheet sheet;
  internal::WindowMap windows;
  for (std::size_t index = 1; index < records.size(); ++index) {
    internal::RowReader reader(records[index], columns, found.problems);
    SheetRow row = reader.Read();
    if (reader.HasFailed()) {
      continue;
    }
    const int line = records[index].line;
    const int earlier = windows.Add(row, line);
    if (earlier != 0) {
      found.problems.push_back({SheetProblemKind::kDuplicateRow, line, "",
                                "overlaps the row of line " + std::to_string(earlier)});
    }
    sheet.rows.push_back(std::move(row));
  }
  if (records.size() == 1 && found.problems.empty()) {
    found.problems.push_back({SheetProblemKind::kEmptySheet, 0, "", "the sheet has no rows"});
  }
  if (!found.problems.empty()) {
    std::stable_sort(found.problems.begin(), found.problems.end(),
                     [](const auto& left, const auto& right) { return left.row < right.row; });
    return boost::leaf::new_error(std::move(found));
  }
  return sheet;
}

}  // namespace lentilhead::sheet
