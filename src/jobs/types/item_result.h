#pragma once

#include <string>

namespace lentilhead::jobs {

/// How an item ended.
enum class ItemOutcome {
  kCompleted,  ///< the output is whole
  kGivenUp,    ///< the item cannot be done, or its time is over
};

/// Result of an item, as it is listed.
struct ItemResult {
  std::string id;
  ItemOutcome outcome = ItemOutcome::kCompleted;
  std::string output;  ///< data of all events, joined by line feeds
};

}  // namespace lentilhead::jobs
