#pragma once

#include <cstdint>
#include <variant>

#include "jobs/types/claim.h"
#include "rowstore/types/store_error.h"

namespace lentilhead::jobs {

/// Write the claim and the items of the job.
struct CreateClaim {
  Claim claim;
};

/// Read the claims that have changed.
struct RefreshClaims {
  rowstore::Version at_least = 0;  ///< version of the store that the claims must include
};

/// Replace a submitted claim by this one, which accepts the job.
struct OpenClaim {
  Claim claim;
};

/// Remove a submitted claim and its items.
struct WithdrawClaim {
  Claim claim;
};

/// End: the job is accepted, by this submission or an earlier one.
struct JobAccepted {
  Claim claim;
  bool is_first = false;  ///< this submission accepted it, so no node runs the job yet
};

/// End: the job exceeds the limit on waiting tokens, and the store has no trace of it.
struct OverTokenLimit {
  std::int64_t waiting = 0;  ///< tokens that count before those of the job
  std::int64_t excess = 0;   ///< tokens beyond the limit
};

/// What a submission needs next. A StoreError ends it.
using SubmissionStep = std::variant<CreateClaim, RefreshClaims, OpenClaim, WithdrawClaim,
                                    JobAccepted, OverTokenLimit, rowstore::StoreError>;

}  // namespace lentilhead::jobs
