#pragma once

#include <chrono>

#include "batch/internal/burst_estimate.h"
#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// Load that an endpoint reported, with the number of this process's batch items in flight when the
/// request for the report was sent.
struct LoadSample {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  int batch_in_flight = 0;
};

/// Decides how many batch items may be in flight at one endpoint.
///
/// The grant is the number of slots that online work leaves free, minus a headroom for the next
/// burst. The headroom decreases with the policy weight: it is the largest recent burst at weight
/// 0, at least one slot below weight 1, and zero at weight 1.
class GrantPolicy {
 public:
  GrantPolicy(double policy_weight, std::chrono::milliseconds burst_memory);

  void OnSample(framework::MonotonicTime now, const LoadSample& sample);

  /// Maximum number of batch items in flight; 0 before the first sample.
  [[nodiscard]] int Grant() const { return this->grant; }

  /// Number of batch items to cancel immediately, out of those in flight.
  [[nodiscard]] int Excess(int in_flight) const;

  [[nodiscard]] int Headroom() const { return this->headroom; }

 private:
  double policy_weight;
  BurstEstimate bursts;
  int grant = 0;
  int headroom = 0;
  int max_in_flight = 0;  ///< Batch items in flight above this number are cancelled.
};

}  // namespace lentilhead::batch::internal
