#pragma once

#include <chrono>
#include <cstddef>

namespace lentilhead::batch::internal {

/// Limits of the ledger of one job.
struct LedgerLimits {
  int max_attempts = 3;
  std::size_t window_items = 256;    ///< Maximum number of declared items without a durable result.
  std::size_t commit_items = 1'024;  ///< Number of results that starts a commit immediately.
  std::size_t solo_items = 16;       ///< Maximum number of items in `JobRecord::solo`.
  std::chrono::milliseconds commit_period{2'000};

  /// Wait after a takeover for endpoint owners to report held items.
  std::chrono::milliseconds report_wait{2'000};

  /// Time without an exchange after which an endpoint owner is lost.
  std::chrono::milliseconds puller_timeout{5'000};
};

}  // namespace lentilhead::batch::internal
