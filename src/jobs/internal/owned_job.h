#pragma once

#include <list>
#include <memory>
#include <string>

#include "gateway/cancel_scope.h"
#include "jobs/job_ledger.h"
#include "jobs/types/claim.h"

namespace lentilhead::jobs::internal {

/// An item at an endpoint.
struct ItemRun {
  std::size_t item = 0;
  std::uint32_t endpoint_key = 0;
  net::SteadyTime started;
  gateway::CancelScope cancel;
};

/// A job that this node owns.
struct OwnedJob {
  OwnedJob(Claim claim, JobLedger ledger) : claim(std::move(claim)), ledger(std::move(ledger)) {}

  Claim claim;
  JobLedger ledger;
  std::list<std::shared_ptr<ItemRun>> runs;
  bool is_lost = false;     ///< another node owns it, or it has ended: nothing more is written
  bool is_writing = false;  ///< results are being committed
  bool is_saving = false;   ///< progress is being written
  net::SteadyTime last_saved;
  bool handing_over = false;            ///< no item is begun any more
  net::SteadyTime route_missing_since;  ///< epoch while the job's route exists
};

}  // namespace lentilhead::jobs::internal
