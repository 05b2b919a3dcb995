#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "batch/types/job_record.h"

namespace lentilhead::batch::internal {

/// Kind under which the result of an item is counted.
enum class ResultKind { kSucceeded, kFailed, kUnknown };

/// Result of an item that is not yet committed.
struct EndedItem {
  std::uint32_t item = 0;
  ResultKind kind = ResultKind::kSucceeded;
  std::string line;
  framework::MonotonicTime ended_at;
};

/// One conditional write of a job's row.
struct LedgerWrite {
  JobRecord record;              ///< The row after the write.
  std::string etag;              ///< Etag of the row that the write replaces.
  std::vector<EndedItem> ended;  ///< Results that the write commits.
  std::uint64_t results =
      0;  ///< Sequence number of the result object within the epoch; 0 for none.
};

/// Adds the results in `write.ended` to `write.record`.
void AddResults(LedgerWrite& write);

/// Checks the invariants between a row and the write that replaces it.
void RequireLegalWrite(const JobRecord& before, const LedgerWrite& write);

}  // namespace lentilhead::batch::internal
