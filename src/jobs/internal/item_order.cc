#include "jobs/item_order.h"

namespace lentilhead::jobs {

bool ItemOrder::CanBeOnTime(const ItemCandidate& item) {
  return item.left_to_run <= item.until_due;
}

bool ItemOrder::StartsBefore(const ItemCandidate& item, const ItemCandidate& other) {
  const bool can = CanBeOnTime(item);
  return can == CanBeOnTime(other) ? item.until_due < other.until_due : can;
}

bool ItemOrder::YieldsBefore(const ItemCandidate& item, const ItemCandidate& other) {
  const bool can = CanBeOnTime(item);
  return can == CanBeOnTime(other)
             ? item.until_due - item.left_to_run > other.until_due - other.left_to_run
             : !can;
}

}  // namespace lentilhead::jobs
