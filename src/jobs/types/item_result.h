#pragma once

#include <string>

namespace lentilhead::jobs {

enum class ItemOutcome {
  kCompleted,  ///< the output is whole
  kGivenUp,    ///< impossible, failed too often, too late or without a route
};

/// Result of an item, as committed and returned to callers.
struct ItemResult {
  std::string id;
  ItemOutcome outcome = ItemOutcome::kCompleted;
  std::string output;  ///< data of all events, joined by line feeds; empty if given up
};

}  // namespace lentilhead::jobs
