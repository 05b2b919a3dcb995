#pragma once

#include <string>
#include <vector>

#include "sheet/internal/csv_record.h"
#include "sheet/internal/sheet_columns.h"
#include "sheet/types/sheet_row.h"

namespace lentilhead::sheet::internal {

/// Reads the values of one record and records each fault.
class RowReader {
 public:
  RowReader(const CsvRecord& record, const SheetColumns& columns,
            std::vector<SheetProblem>& problems)
      : record(record), columns(columns), problems(problems) {}

  SheetRow Read();

  /// True if Read() recorded a fault.
  [[nodiscard]] bool HasFailed() const { return this->failed; }

 private:
  [[nodiscard]] const std::string& Value(Column column) const;
  std::string ReadName(Column column, bool required);
  int ReadCapacity();
  std::vector<std::string> ReadList(Column column);
  std::set<Role> ReadRoles();
  Window ReadWindow();
  void Report(SheetProblemKind kind, Column column, std::string message);

  const CsvRecord& record;
  const SheetColumns& columns;
  std::vector<SheetProblem>& problems;
  bool failed = false;
};

}  // namespace lentilhead::sheet::internal
