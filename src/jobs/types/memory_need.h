#pragma once

namespace lentilhead::jobs {

/// Memory that an item needs, and that the endpoints with a free slot have left at most, in tokens.
struct MemoryNeed {
  double needed = 0;
  double free = 0;
};

}  // namespace lentilhead::jobs
