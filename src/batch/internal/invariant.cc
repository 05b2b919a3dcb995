#include "batch/internal/invariant.h"

#include <cstdlib>
#include <utility>

#include "framework/log_event.h"

namespace lentilhead::batch::internal {

namespace {

void LogAndAbort(const char* invariant) {
  {
    framework::LogEvent(framework::Severity::kError, "invariant_violated")
        .With("invariant", invariant);
  }
  std::abort();
}

ViolationHandler& Handler() {
  static ViolationHandler handler = LogAndAbort;
  return handler;
}

}  // namespace

ViolationHandler OnViolation(ViolationHandler handler) {
  return std::exchange(Handler(), std::move(handler));
}

void Require(bool holds, const char* invariant) {
  if (!holds) {
    Handler()(invariant);
  }
}

}  // namespace lentilhead::batch::internal
