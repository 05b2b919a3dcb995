#pragma once

#include <string>

#include "framework/types/time_types.h"
#include "sheet/types/sheet.h"

namespace lentilhead::sheet {

/// One accepted revision in the history.
struct SheetHistoryEntry {
  Revision revision = 0;
  std::string submitted_by;
  framework::WallTime accepted_at;
  std::string digest;  ///< SHA-256 of the CSV text.
};

}  // namespace lentilhead::sheet
