#pragma once

#include <string>
#include <vector>

namespace lentilhead::sheet {

enum class SheetProblemKind {
  kInvalidCsv,
  kMissingColumn,
  kUnknownColumn,
  kMissingValue,
  kInvalidValue,
  kDuplicateRow,
  kEmptySheet,
};

/// One fault of a sheet.
struct SheetProblem {
  SheetProblemKind kind;
  int row = 0;         ///< 1-based line of the CSV text; 0 if the fault has no row.
  std::string column;  ///< Empty if the fault has no column.
  std::string message;
};

/// Every fault of a sheet.
struct SheetProblems {
  std::vector<SheetProblem> problems;
};

}  // namespace lentilhead::sheet
