#pragma once

#include <chrono>

namespace lentilhead::jobs {

/// Work of items, waiting or running, that is due at one time.
struct QueuedWork {
  std::chrono::milliseconds until_due{0};
  std::chrono::milliseconds left_to_run{0};  ///< sum of the expected rests of their runs
};

}  // namespace lentilhead::jobs
