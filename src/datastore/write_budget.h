#pragma once

#include <chrono>

#include "datastore/types/write_priority.h"
#include "framework/token_bucket.h"
#include "framework/types/time_types.h"

namespace lentilhead::datastore {

/// Budget of table writes of one process. Less urgent writes leave a share to more urgent ones.
class WriteBudget {
 public:
  /// @param writes_per_second rate of all writes together.
  explicit WriteBudget(double writes_per_second);

  /// Takes one write of a class if the class may write now.
  [[nodiscard]] bool TryTake(WritePriority priority, framework::MonotonicTime now);

  /// Time until a class may write, if no other class writes before.
  [[nodiscard]] std::chrono::nanoseconds TimeUntil(WritePriority priority,
                                                   framework::MonotonicTime now);

 private:
  double capacity;
  framework::TokenBucket bucket;
};

}  // namespace lentilhead::datastore
