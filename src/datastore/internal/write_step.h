#pragma once

#include <chrono>
#include <variant>

#include "datastore/types/table_error.h"
#include "datastore/types/table_row.h"
#include "framework/result.h"

namespace lentilhead::datastore::internal {

/// Take one write from the budget and send the conditional write.
struct SendWrite {};

/// Read the row back.
struct SendRead {};

/// Call WriteResolution::OnWaited() after a delay.
struct WaitThen {
  std::chrono::nanoseconds delay{0};
};

/// Report the end of the write.
struct FinishWrite {
  framework::Reply<TableRow, TableError> reply;
};

/// What to do next for a write.
using WriteStep = std::variant<SendWrite, SendRead, WaitThen, FinishWrite>;

}  // namespace lentilhead::datastore::internal
