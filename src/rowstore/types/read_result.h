#pragma once

#include <variant>
#include <vector>

#include "rowstore/types/row.h"
#include "rowstore/types/store_error.h"

namespace lentilhead::rowstore {

/// Rows of one read or feed call.
struct ReadRows {
  std::vector<Row> rows;
  Version version = 0;     ///< version of the store that the rows include at least
  bool truncated = false;  ///< more rows follow the last one
};

using ReadOutcome = std::variant<ReadRows, StoreError>;

}  // namespace lentilhead::rowstore
