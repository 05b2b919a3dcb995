#include "batch/internal/progress_estimate.h"

#include <algorithm>
#include <cmath>

namespace lentilhead::batch::internal {

namespace {

constexpr std::chrono::seconds kMeasurementPeriod{1};
constexpr double kSmoothingSeconds = 60;
constexpr std::size_t kMinEndedItems = 16;
constexpr int kMinMeasurements = 5;
constexpr double kMaxSeconds = 30 * 86'400.0;

}  // namespace

ProgressEstimate::ProgressEstimate(framework::MonotonicTime started) : measured(started) {}

void ProgressEstimate::OnEnded(std::size_t count) {
  this->since_measured += count;
  this->ended += count;
}

void ProgressEstimate::OnTime(framework::MonotonicTime now) {
  const double seconds = std::chrono::duration<double>(now - this->measured).count();
  if (now < this->measured + kMeasurementPeriod) {
    return;
  }
  const double latest = static_cast<double>(this->since_measured) / seconds;
  const double weight =
      std::max(1 - std::exp(-seconds / kSmoothingSeconds), 1.0 / (this->measurements + 1));
  this->rate += weight * (latest - this->rate);
  this->measurements += 1;
  this->since_measured = 0;
  this->measured = now;
}

std::optional<std::chrono::milliseconds> ProgressEstimate::TimeFor(std::size_t count) const {
  if (this->ended < kMinEndedItems || this->measurements < kMinMeasurements) {
    return std::nullopt;
  }
  const double seconds = this->rate > 0 ? static_cast<double>(count) / this->rate : kMaxSeconds;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(std::min(seconds, kMaxSeconds)));
}

}  // namespace lentilhead::batch::internal
