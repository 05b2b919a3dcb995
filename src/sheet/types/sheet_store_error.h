#pragma once

#include <string>

#include "sheet/types/sheet.h"

namespace lentilhead::sheet {

enum class SheetStoreErrorKind {
  kConflict,        ///< Another revision is current.
  kNotFound,        ///< The revision was never accepted.
  kUnavailable,     ///< Nothing was changed.
  kOutcomeUnknown,  ///< The submission may or may not have been accepted.
  kInvalidBody,     ///< A stored sheet cannot be read.
};

/// Failure of the sheet store.
struct SheetStoreError {
  SheetStoreErrorKind kind;
  Revision current = 0;    ///< For kConflict: the revision that won.
  std::string current_by;  ///< For kConflict: who submitted it.
  std::string detail;
};

}  // namespace lentilhead::sheet
