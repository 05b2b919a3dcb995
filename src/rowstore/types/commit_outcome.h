#pragma once

#include <variant>
#include <vector>

#include "rowstore/types/row.h"
#include "rowstore/types/store_error.h"

namespace lentilhead::rowstore {

/// The transaction was applied.
struct Committed {
  Version version = 0;
};

/// A row has another version than expected; nothing was changed.
struct Conflict {
  std::vector<Row> rows;  ///< current state of the expected rows
};

using CommitOutcome = std::variant<Committed, Conflict, StoreError>;

}  // namespace lentilhead::rowstore
