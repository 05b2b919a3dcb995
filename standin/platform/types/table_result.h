#pragma once

#include <string>

namespace lentilhead::standin {

enum class TableStatus { kDone, kNotFound, kExists, kEtagMismatch };

/// Outcome of a write to the in-memory table.
struct TableResult {
  TableStatus status = TableStatus::kDone;
  std::string etag;  ///< New etag after kDone.
};

}  // namespace lentilhead::standin
