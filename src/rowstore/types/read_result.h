#pragma once

#include <algorithm>
#include <iterator>
#include <utility>
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

  /// Appends the rows of another call; the version is the older one.
  void Append(ReadRows more) {
    this->version = this->version == 0 ? more.version : std::min(this->version, more.version);
    std::move(more.rows.begin(), more.rows.end(), std::back_inserter(this->rows));
  }
};

using ReadOutcome = std::variant<ReadRows, StoreError>;

}  // namespace lentilhead::rowstore
