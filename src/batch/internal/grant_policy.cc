#include "batch/internal/grant_policy.h"

#include <algorithm>
#include <cmath>

namespace lentilhead::batch::internal {

namespace {

/// Below this weight, batch items in flight are cancelled to restore the headroom; from this weight
/// on, only to free slots for online requests that have arrived.
constexpr double kRestoreHeadroomBelowWeight = 0.5;

}  // namespace

GrantPolicy::GrantPolicy(double policy_weight, std::chrono::milliseconds burst_memory)
    : policy_weight(policy_weight), bursts(burst_memory) {}

void GrantPolicy::OnSample(framework::MonotonicTime now, const LoadSample& sample) {
  const int online = std::max(0, sample.running + sample.waiting - sample.batch_in_flight);
  this->bursts.OnSample(now, online);
  const double latency_weight = 1 - this->policy_weight;
  const int min_headroom = latency_weight > 0 ? 1 : 0;
  const int burst_headroom = static_cast<int>(std::ceil(latency_weight * this->bursts.PeakRise()));
  this->headroom = std::max(min_headroom, burst_headroom);
  const int free = sample.slots - online;
  this->grant = std::max(0, free - this->headroom);
  const bool restore_headroom = this->policy_weight < kRestoreHeadroomBelowWeight;
  this->max_in_flight = std::max(0, restore_headroom ? this->grant : free);
}

int GrantPolicy::Excess(int in_flight) const {
  return std::max(0, in_flight - this->max_in_flight);
}

}  // namespace lentilhead::batch::internal
