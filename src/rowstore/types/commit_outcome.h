#pragma once

#include <variant>
#include <vector>

#include "rowstore/types/row.h"
#include "rowstore/types/store_error.h"

namespace lentilhead::rowstore {

/// The transaction applied.
struct Committed {
  Version version = 0;
};

/// An expected row has another version; nothing was changed.
struct Conflict {
  std::vector<Row> rows;  ///< present state of the expected rows
};

using CommitOutcome = std::variant<Committed, Conflict, StoreError>;

}  // namespace lentilhead::rowstore
