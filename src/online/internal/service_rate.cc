#include "online/internal/service_rate.h"

#include <algorithm>

namespace lentilhead::online::internal {

namespace {

constexpr int kAverageWindow = 16;  ///< A new duration has the weight 1 / kAverageWindow.

}  // namespace

void ServiceRate::OnAdmit(framework::MonotonicTime now) {
  if (this->running == 0) {
    this->last_change = now;
  }
  this->running += 1;
}

void ServiceRate::OnRelease(framework::MonotonicTime admitted_at, framework::MonotonicTime now) {
  const std::chrono::nanoseconds newest = now - admitted_at;
  this->duration =
      this->measured ? this->duration + (newest - this->duration) / kAverageWindow : newest;
  this->measured = true;
  this->running -= 1;
  this->last_change = now;
}

std::chrono::nanoseconds ServiceRate::Interval(framework::MonotonicTime now) const {
  if (!this->measured || this->running == 0) {
    return std::chrono::nanoseconds(0);
  }
  // If no request has ended for a while, the service is slower than the average of past durations.
  return std::max(this->duration / this->running,
                  std::chrono::nanoseconds{now - this->last_change} / kAverageWindow);
}

}  // namespace lentilhead::online::internal
