#pragma once

namespace lentilhead::batch {

/// Why an item ended without an answer from its endpoint.
enum class EndReason {
  kAttemptsExhausted,  ///< Every attempt failed.
  kOutcomeUnknown,     ///< The item may have run and must not be repeated.
  kDeadlinePassed,     ///< The job drops items that are not held when the deadline passes.
  kUnreadableItem,     ///< The stored item cannot be read.
};

/// Returns the snake_case name of a reason, as it appears in result lines.
const char* NameOf(EndReason reason);

}  // namespace lentilhead::batch
