#include "endpoint/internal/endpoint_health.h"

#include <algorithm>

namespace lentilhead::endpoint::internal {

namespace {

constexpr int kConsecutiveFailuresToEject = 5;
constexpr int kMinAttempts = 20;
/// The counts are halved above this, so that recent attempts weigh more.
constexpr int kMaxAttempts = 200;
constexpr double kMinOutlierFailureRate = 0.5;
constexpr double kMinOutlierRateRatio = 3.0;
constexpr int kMaxDoublings = 4;

}  // namespace

void EndpointHealth::OnAttemptEnded(AttemptEnd end, framework::MonotonicTime now) {
  const bool was_probe = this->ejected && this->probing;
  this->probing = false;
  switch (end) {
    case AttemptEnd::kSucceeded:
      this->consecutive_failures = 0;
      this->successes += 1;
      if (was_probe) {
        this->Close();
      }
      break;
    case AttemptEnd::kFailed:
      this->consecutive_failures += 1;
      this->failures += 1;
      if (was_probe) {
        this->Eject(now);
      }
      break;
    case AttemptEnd::kRefusedBusy:
    case AttemptEnd::kRefusedDraining:
      // A refusal shows that the endpoint is reachable.
      this->consecutive_failures = 0;
      if (was_probe) {
        this->Close();
      }
      break;
    case AttemptEnd::kCancelledByCaller:
      break;
  }
  this->Decay();
}

bool EndpointHealth::IsOutlier(double peer_failure_rate) const {
  if (this->consecutive_failures >= kConsecutiveFailuresToEject) {
    return true;
  }
  if (this->Attempts() < kMinAttempts) {
    return false;
  }
  const double failure_rate = static_cast<double>(this->failures) / this->Attempts();
  return failure_rate >= kMinOutlierFailureRate &&
         failure_rate >= kMinOutlierRateRatio * peer_failure_rate;
}

void EndpointHealth::Eject(framework::MonotonicTime now) {
  this->ejected = true;
  this->probing = false;
  const int doublings = std::min(this->ejections, kMaxDoublings);
  this->ejected_until = now + this->ejection_time * (1 << doublings);
  this->ejections += 1;
}

bool EndpointHealth::Admits(framework::MonotonicTime now) const {
  return !this->ejected || (now >= this->ejected_until && !this->probing);
}

void EndpointHealth::Close() {
  this->ejected = false;
  this->ejections = 0;
  this->consecutive_failures = 0;
  this->successes = 0;
  this->failures = 0;
}

void EndpointHealth::Decay() {
  if (this->Attempts() > kMaxAttempts) {
    this->successes /= 2;
    this->failures /= 2;
  }
}

}  // namespace lentilhead::endpoint::internal
