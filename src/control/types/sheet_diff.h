#pragma once

#include <utility>
#include <vector>

#include "sheet/types/sheet.h"

namespace lentilhead::control {

/// Difference between two sheets.
struct SheetDiff {
  std::vector<sheet::SheetRow> added;
  std::vector<sheet::SheetRow> removed;
  /// Pairs (before, after) of rows that share service, model and adapter but differ otherwise.
  std::vector<std::pair<sheet::SheetRow, sheet::SheetRow>> changed;
};

/// Compares the rows of two sheets, regardless of their order.
SheetDiff CompareSheets(const sheet::Sheet& before, const sheet::Sheet& after);

}  // namespace lentilhead::control
