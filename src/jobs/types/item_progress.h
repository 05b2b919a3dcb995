#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/types/end_claims.h"
#include "net/http_types.h"

namespace lentilhead::jobs {

/// Phase of an item at its owner.
enum class ItemPhase {
  kWaiting,
  kRunning,
  kEnded,  ///< its result is committed or queued to be committed
};

/// Progress of an item.
struct ItemProgress {
  ItemPhase phase = ItemPhase::kWaiting;
  std::string output;  ///< data of the events received, joined by line feeds
  std::optional<std::int64_t> last_event;
  int failures = 0;                         ///< answers that report a failed run
  gateway::EndClaims end_claims;            ///< since the last event
  std::optional<std::int64_t> saved_event;  ///< last_event at the last save
  int saved_failures = 0;
  net::SteadyTime not_before;  ///< no attempt starts earlier
};

}  // namespace lentilhead::jobs
