#include "batch/internal/burst_estimate.h"

#include <algorithm>

namespace lentilhead::batch::internal {

namespace {

/// Time from a rise of online requests until cancelled batch work has left the endpoint, including
/// the delay of load reports.
constexpr std::chrono::milliseconds kReactionTime{500};

}  // namespace

BurstEstimate::BurstEstimate(std::chrono::milliseconds window) : bucket_length(window / kBuckets) {}

void BurstEstimate::OnSample(framework::MonotonicTime now, int online) {
  this->RotateBuckets(now);
  while (!this->samples.empty() && this->samples.front().time + kReactionTime < now) {
    this->samples.pop_front();
  }
  int lowest = online;
  for (const Sample& sample : this->samples) {
    lowest = std::min(lowest, sample.online);
  }
  this->samples.push_back({now, online});
  this->peaks[this->current] = std::max(this->peaks[this->current], online - lowest);
}

int BurstEstimate::PeakRise() const {
  return *std::max_element(this->peaks.begin(), this->peaks.end());
}

void BurstEstimate::RotateBuckets(framework::MonotonicTime now) {
  if (!this->started) {
    this->started = true;
    this->bucket_started = now;
    return;
  }
  while (now >= this->bucket_started + this->bucket_length) {
    this->bucket_started += this->bucket_length;
    this->current = (this->current + 1) % kBuckets;
    this->peaks[this->current] = 0;
  }
}

}  // namespace lentilhead::batch::internal
