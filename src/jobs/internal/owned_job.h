#pragma once

#include <list>
#include <memory>
#include <string>

#include "gateway/cancel_scope.h"
#include "jobs/item_tracker.h"
#include "jobs/types/claim.h"

namespace lentilhead::jobs::internal {

/// An item at an endpoint.
struct ItemAttempt {
  std::size_t item = 0;
  std::uint32_t endpoint_key = 0;
  net::SteadyTime started;
  gateway::CancelScope cancel;
};

/// A job that this node owns.
struct OwnedJob {
  OwnedJob(Claim claim, ItemTracker items) : claim(std::move(claim)), items(std::move(items)) {}

  Claim claim;
  ItemTracker items;
  std::list<std::shared_ptr<ItemAttempt>> attempts;
  bool is_lost = false;        ///< another node owns it, or it has ended: nothing more is written
  bool is_committing = false;  ///< results are being committed
  bool is_saving_progress = false;  ///< progress is being written
  net::SteadyTime last_saved;
  bool is_handing_over = false;         ///< no item is started_items any more
  net::SteadyTime route_missing_since;  ///< epoch while the job's route exists
};

}  // namespace lentilhead::jobs::internal
