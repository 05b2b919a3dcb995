#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "gateway/cancel_scope.h"
#include "jobs/item_tracker.h"
#include "jobs/types/claim.h"

namespace lentilhead::jobs::internal {

/// One attempt at an item, in flight at an endpoint.
struct ItemAttempt {
  std::size_t item = 0;
  std::uint32_t endpoint_key = 0;
  net::SteadyTime started;
  std::int64_t events_before = 0;  ///< events that the item had when the attempt started
  gateway::CancelScope cancel;
};

/// A job that this node owns.
struct OwnedJob {
  OwnedJob(Claim claim, ItemTracker items) : claim(std::move(claim)), items(std::move(items)) {}

  Claim claim;
  ItemTracker items;
  std::list<std::shared_ptr<ItemAttempt>> attempts;
  /// This node no longer owns the job, or it has ended: nothing more is written.
  bool is_dropped = false;
  bool is_committing = false;
  bool is_saving_progress = false;
  net::SteadyTime last_saved;
  bool is_handing_over = false;         ///< no further item is started
  net::SteadyTime route_missing_since;  ///< epoch unless the configuration lacks the job's route
  bool is_route_unknown = false;        ///< the node has no configuration that tells
};

}  // namespace lentilhead::jobs::internal
