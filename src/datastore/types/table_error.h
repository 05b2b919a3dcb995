#pragma once

#include <string>

namespace lentilhead::datastore {

enum class TableErrorKind {
  kNotFound,
  kConflict,        ///< The row exists already, or its etag differs.
  kThrottled,       ///< Refused before it took effect; retry later.
  kUnavailable,     ///< Not applied: nothing was sent, or the service refused.
  kOutcomeUnknown,  ///< A write that may or may not have been applied.
  kInvalidAnswer,
  kBudgetExhausted,  ///< Refused by the local write budget; nothing was sent.
};

/// Failure of a call to the table service.
struct TableError {
  TableErrorKind kind;
  std::string detail;
};

/// Name of a kind in snake_case, for logs and counters.
const char* NameOf(TableErrorKind kind);

}  // namespace lentilhead::datastore
