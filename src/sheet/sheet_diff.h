#pragma once

#include <vector>

#include "sheet/types/changed_row.h"
#include "sheet/types/sheet.h"

namespace lentilhead::sheet {

/// What changes when one sheet takes the place of another.
struct SheetDiff {
  std::vector<SheetRow> added;
  std::vector<SheetRow> removed;
  std::vector<ChangedRow> changed;

  [[nodiscard]] bool IsEmpty() const {
    return this->added.empty() && this->removed.empty() && this->changed.empty();
  }
};

/// Compares two sheets. Equal rows are left out whatever their order.
///
/// Rows of the same service, model and adapter count as changed, first those that also agree in
/// zones, roles and window; rows without a counterpart are added or removed.
SheetDiff Diff(const Sheet& before, const Sheet& after);

}  // namespace lentilhead::sheet
