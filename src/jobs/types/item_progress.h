#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/http_types.h"

namespace lentilhead::jobs {

/// Where an item stands at its owner.
enum class ItemPhase {
  kWaiting,
  kRunning,
  kEnded,  ///< its result is known, listed or about to be
};

/// How far an item has come.
struct ItemProgress {
  ItemPhase phase = ItemPhase::kWaiting;
  std::string output;  ///< data of the events so far, joined by line feeds
  std::optional<std::int64_t> last_event;
  int failures = 0;                         ///< answers that say that the run failed
  std::optional<std::int64_t> saved_event;  ///< as last_event, in the store
  int saved_failures = 0;
  net::SteadyTime not_before;  ///< no attempt before then
};

}  // namespace lentilhead::jobs
