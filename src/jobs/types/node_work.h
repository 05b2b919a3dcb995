#pragma once

#include <chrono>

namespace lentilhead::jobs {

/// The batch work that a node owns.
struct NodeWork {
  int runs = 0;       ///< items that run
  double needed = 0;  ///< slots that its work needs, by ItemStartPolicy::SlotsNeeded()
  /// Least time that a waiting item can wait and still be on time.
  std::chrono::milliseconds least_spare = std::chrono::milliseconds::max();
};

}  // namespace lentilhead::jobs
