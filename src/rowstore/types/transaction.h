#pragma once

#include <string>
#include <vector>

#include "rowstore/types/row.h"

namespace lentilhead::rowstore {

/// Row whose version must match for a transaction to apply.
struct ExpectedRow {
  RowKey key;
  Version version = 0;
};

/// Row that a transaction writes.
struct WrittenRow {
  RowKey key;
  std::string value;
};

/// Changes within one partition that are applied together or not at all.
struct Transaction {
  std::vector<ExpectedRow> expected;
  std::vector<WrittenRow> written;
  std::vector<RowKey> removed;
};

}  // namespace lentilhead::rowstore
