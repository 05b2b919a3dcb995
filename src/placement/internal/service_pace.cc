#include "placement/service_pace.h"

#include <algorithm>

namespace lentilhead::placement {

namespace {

constexpr double kWeight = 0.02;     // of the newest of the samples, which come from all endpoints
constexpr double kMaxRatio = 4;      // limits what one sample changes
constexpr double kMinTokens = 1000;  // reading fewer takes less than the noise of the time
constexpr double kMinReadMs = 0.0005;
constexpr double kMaxReadMs = 0.5;

void Average(double& average, double sample, double weight) {
  average += weight * (std::clamp(sample, average / kMaxRatio, average * kMaxRatio) - average);
}

}  // namespace

void ServicePace::RecordUnit(std::chrono::duration<double, std::milli> span) {
  if (!this->has_unit) {
    this->unit_ms = std::max(0.01, span.count());
    this->has_unit = true;
  }
  Average(this->unit_ms, std::max(0.01, span.count()), kWeight);
}

void ServicePace::RecordRead(double tokens, std::chrono::duration<double, std::milli> span,
                             std::chrono::duration<double, std::milli> others) {
  if (tokens < kMinTokens) {
    return;
  }
  const double sample = std::max(0.0, (span - others).count()) / tokens;
  Average(this->read_ms_per_token, std::clamp(sample, kMinReadMs, kMaxReadMs), 5 * kWeight);
}

void ServicePace::RecordLength(double units) { Average(this->mean_units, units, kWeight); }

}  // namespace lentilhead::placement
