#pragma once

#include <variant>

#include "jobs/types/claim.h"
#include "rowstore/types/store_error.h"

namespace lentilhead::jobs {

/// The store has no claim of the job.
struct NoSuchJob {};

/// The claim that the store has after a call, or why it is not known.
using ClaimOutcome = std::variant<Claim, NoSuchJob, rowstore::StoreError>;

}  // namespace lentilhead::jobs
