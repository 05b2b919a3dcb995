#pragma once

#include <variant>

#include "net/http_types.h"

namespace lentilhead::admission {

/// Why a request is refused rather than kept waiting.
enum class RefusalCause {
  kNoSlotInTime,   ///< no slot became free while a refusal costs little
  kPredictedLate,  ///< it is expected to start too late
  kOverShare,      ///< its customer uses more than its share
};

/// The request waits; its case is decided again at a later time.
struct KeepWaiting {
  net::SteadyTime review_at;
};

/// The request is refused.
struct RefuseNow {
  RefusalCause cause = RefusalCause::kNoSlotInTime;
};

using WaitVerdict = std::variant<KeepWaiting, RefuseNow>;

}  // namespace lentilhead::admission
