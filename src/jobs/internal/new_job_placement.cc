#include "jobs/new_job_placement.h"

namespace lentilhead::jobs {

namespace {

// Items that may wait for each slot that the node can count on.
constexpr std::size_t kWaitingPerSlot = 2;

}  // namespace

bool NewJobPlacement::RunsHere(std::size_t waiting_items, std::size_t group_slots,
                               std::size_t group_nodes, std::size_t groups) {
  return groups <= 1 || waiting_items * group_nodes < kWaitingPerSlot * group_slots;
}

}  // namespace lentilhead::jobs
