#pragma once

#include "sheet/types/sheet_row.h"

namespace lentilhead::sheet {

/// A row of one sheet and the row of another that takes its place.
struct ChangedRow {
  SheetRow before;
  SheetRow after;
};

}  // namespace lentilhead::sheet
