#include "batch/types/end_reason.h"
#include "batch/types/item_result.h"

namespace lentilhead::batch {

const char* NameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kSucceeded:
      return "succeeded";
    case AttemptOutcome::kRejected:
      return "rejected";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kLost:
      return "lost";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
    case AttemptOutcome::kNotRun:
      return "not_run";
    case AttemptOutcome::kPreempted:
      return "preempted";
  }
  return "not_run";
}

const char* NameOf(EndReason reason) {
  switch (reason) {
    case EndReason::kAttemptsExhausted:
      return "attempts_exhausted";
    case EndReason::kOutcomeUnknown:
      return "outcome_unknown";
    case EndReason::kDeadlinePassed:
      return "deadline_passed";
    case EndReason::kUnreadableItem:
      return "unreadable_item";
  }
  return "outcome_unknown";
}

}  // namespace lentilhead::batch
