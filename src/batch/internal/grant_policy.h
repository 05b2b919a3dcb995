#pragma once

#include <chrono>

#include "batch/internal/burst_estimate.h"
#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// What an endpoint said of its load, with the own batch items that were in flight when it was
/// asked.
struct LoadSample {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  int batch_in_flight = 0;
};

/// Decides how many batch items may be in flight at one endpoint.
///
/// The slots that online work leaves free, less a headroom for the next burst. The policy weight
/// sets the headroom: the whole of the largest recent burst, and never less than one slot, at 0;
/// none at 1.
class GrantPolicy {
 public:
  GrantPolicy(double policy_weight, std::chrono::milliseconds burst_memory);

  void OnSample(framework::MonotonicTime now, const LoadSample& sample);

  /// Most batch items that may be in flight. 0 before the first sample.
  [[nodiscard]] int Grant() const { return this->grant; }

  /// Batch items to cancel at once, out of those in flight.
  [[nodiscard]] int Excess(int in_flight) const;

  [[nodiscard]] int Headroom() const { return this->headroom; }

 private:
  double policy_weight;
  BurstEstimate bursts;
  int grant = 0;
  int headroom = 0;
  int max_in_flight = 0;  ///< More than this many in flight are cancelled.
};

}  // namespace lentilhead::batch::internal
