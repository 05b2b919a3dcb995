#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "batch/internal/grant_policy.h"

namespace lentilhead::batch::internal {

/// How batch work is sent to the modelled endpoint.
enum class BatchMode {
  kNone,
  kSendAll,     ///< All requests at once; they wait in the endpoint's own queue.
  kFixedShare,  ///< Half of the slots, regardless of online work.
  kGrant,       ///< As many requests as GrantPolicy grants.
};

/// Settings of one run of the model.
struct ModelSettings {
  BatchMode mode = BatchMode::kNone;
  double policy_weight = 0;
  std::uint64_t seed = 1;
  int slots = 16;
  std::chrono::milliseconds length{900'000};
  std::chrono::milliseconds warm_up{120'000};  ///< Not measured.
  std::chrono::milliseconds prefill{400};
  std::chrono::milliseconds mean_online{3'000};
  std::chrono::milliseconds mean_batch{6'000};
  std::chrono::milliseconds load_period{50};
  std::chrono::milliseconds report_lag{10};
  double online_per_second = 1.2;
  int burst_size = 6;
  std::chrono::milliseconds mean_between_bursts{20'000};
  /// Replaces the arrivals above by one burst at the end of the warm-up.
  bool single_burst = false;
};

/// Measurements of one run.
struct ModelResult {
  std::vector<double> first_token_seconds;  ///< Of each online request, ascending.
  double free_slot_seconds = 0;             ///< Slot time that online requests left.
  double batch_slot_seconds = 0;            ///< Part of it with a batch request in the slot.
  double repeated_slot_seconds = 0;         ///< Part of that spent on prefills of resumed streams.
  int cancelled = 0;

  [[nodiscard]] double Quantile(double quantile) const;
  /// Share of the free slot time with a batch request in the slot.
  [[nodiscard]] double UsedShare() const { return batch_slot_seconds / free_slot_seconds; }

  /// Like UsedShare(), but without the prefills that are repeated after a cancel.
  [[nodiscard]] double UsefulShare() const {
    return (batch_slot_seconds - repeated_slot_seconds) / free_slot_seconds;
  }
};

/// Simulates one endpoint in virtual time: a first-come, first-served queue for its slots, batch
/// streams that can be cancelled and resumed, and delayed load reports.
ModelResult RunEngineModel(const ModelSettings& settings);

}  // namespace lentilhead::batch::internal
