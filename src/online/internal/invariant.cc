#include "online/internal/invariant.h"

#include "framework/log_event.h"

namespace lentilhead::online::internal {

const char* NameOf(Invariant invariant) {
  switch (invariant) {
    case Invariant::kOneFinalAnswer:
      return "one_final_answer";
    case Invariant::kNotRunDidNotRun:
      return "not_run_did_not_run";
    case Invariant::kOneSendPerIntent:
      return "one_send_per_intent";
    case Invariant::kOwnBytesOnly:
      return "own_bytes_only";
  }
  return "unknown";
}

void Require(bool condition, Invariant invariant) {
  if (condition) {
    return;
  }
  framework::LogEvent(framework::Severity::kError, "invariant_violated")
      .With("invariant", NameOf(invariant));
  throw InvariantViolation{invariant};
}

}  // namespace lentilhead::online::internal
