#pragma once

#include <string>

namespace lentilhead::fleet {

enum class DrainErrorKind {
  kContended,       ///< All attempts conflicted with other changes of the row; nothing was changed.
  kUnavailable,     ///< Nothing was changed.
  kOutcomeUnknown,  ///< The change may or may not have been stored.
  kInvalidRow,      ///< The stored row cannot be read.
};

/// Failure to change the drained endpoints or instances.
struct DrainError {
  DrainErrorKind kind;
  std::string detail;
};

}  // namespace lentilhead::fleet
