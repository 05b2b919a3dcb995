#include "datastore/write_budget.h"

#include <algorithm>
#include <array>

namespace lentilhead::datastore {

namespace {

constexpr double kSmallestCapacity = 10;

/// Share of the capacity that a class leaves to the more urgent classes.
constexpr std::array<double, kWritePriorityCount> kReservedShares{0, 0.05, 0.15, 0.3, 0.5};

double NeededLevel(double capacity, WritePriority priority) {
  return 1 + kReservedShares[static_cast<std::size_t>(priority)] * (capacity - 1);
}

}  // namespace

WriteBudget::WriteBudget(double writes_per_second)
    : capacity(std::max(kSmallestCapacity, writes_per_second)),
      bucket(writes_per_second, this->capacity) {}

bool WriteBudget::TryTake(WritePriority priority, framework::MonotonicTime now) {
  if (this->bucket.Available(now) < NeededLevel(this->capacity, priority)) {
    return false;
  }
  return this->bucket.TryTake(now);
}

std::chrono::nanoseconds WriteBudget::TimeUntil(WritePriority priority,
                                                framework::MonotonicTime now) {
  return this->bucket.TimeUntil(now, NeededLevel(this->capacity, priority));
}

}  // namespace lentilhead::datastore
