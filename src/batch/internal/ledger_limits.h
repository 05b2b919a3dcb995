#pragma once

#include <chrono>
#include <cstddef>

namespace lentilhead::batch::internal {

/// Limits of the ledger of one job.
struct LedgerLimits {
  int max_attempts = 3;
  std::size_t window_items = 256;    ///< Most declared items without a durable result.
  std::size_t commit_items = 1'024;  ///< Results that start a commit at once.
  std::size_t solo_items = 16;       ///< Suspects declared at a time.
  std::chrono::milliseconds commit_period{2'000};
  std::chrono::milliseconds report_wait{2'000};     ///< For endpoint owners to report held items.
  std::chrono::milliseconds puller_timeout{5'000};  ///< Until a silent endpoint owner is lost.
};

}  // namespace lentilhead::batch::internal
