#pragma once

#include <cstdint>
#include <string>

#include "batch/types/partial_answer.h"

namespace lentilhead::batch {

/// How an attempt at an item ended.
enum class AttemptOutcome {
  kSucceeded,  ///< The endpoint answered with success.
  kRejected,   ///< The endpoint rejected the request (4xx); a retry would not help.
  kFailed,     ///< The endpoint answered with an error (5xx, 408, or an error in the stream).
  kLost,       ///< The connection broke after the request had been sent.
  kTimedOut,   ///< No answer within the item's timeout.
  kNotRun,     ///< The item did not run: it was refused before admission, or never sent.
  kPreempted,  ///< Cancelled, for example for online work; `partial` may hold the text so far.
};

/// Returns the snake_case name of an outcome.
const char* NameOf(AttemptOutcome outcome);

/// Result of one attempt at one item.
struct ItemResult {
  std::uint32_t item = 0;
  std::uint64_t attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kNotRun;
  std::string line;       ///< Result line in JSON; empty without a whole answer, and for kNotRun.
  PartialAnswer partial;  ///< Answer generated so far, if it can be resumed.
};

}  // namespace lentilhead::batch
