#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sheet/types/sheet_row.h"

namespace lentilhead::sheet {

using Revision = std::uint64_t;

/// A sheet: the rows of every service.
struct Sheet {
  std::vector<SheetRow> rows;

  /// Rows of one service, in the order of the sheet.
  [[nodiscard]] std::vector<const SheetRow*> RowsOf(const std::string& service) const;

  /// First row that serves a model name as callers give it: `service`, `model` or
  /// `model:adapter`. Null if no row does.
  [[nodiscard]] const SheetRow* FindModel(const std::string& model) const;
};

/// A sheet that has been accepted.
struct AcceptedSheet {
  Revision revision = 0;
  std::string csv;  ///< Text as the operator gave it.
  Sheet sheet;
};

}  // namespace lentilhead::sheet
