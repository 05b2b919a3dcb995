#include "admission/service_pace.h"

#include <algorithm>

namespace lentilhead::admission {

namespace {

using std::chrono::milliseconds;

constexpr double kNewestWeight = 0.1;
constexpr int kMinSamples = 5;
constexpr double kDeviations = 2;
constexpr double kMaxShareOfObjective = 0.6;
constexpr double kUnknownShareOfObjective = 0.4;
constexpr std::chrono::duration<double, std::milli> kUsualHold{700};

/// Weight of the next sample: the mean of all at first.
double WeightOf(int samples) { return std::max(kNewestWeight, 1.0 / samples); }

}  // namespace

void ServicePace::RecordFirstEvent(std::chrono::nanoseconds span) {
  this->first_events = std::min(this->first_events + 1, kMinSamples * kMinSamples);
  const Span difference = Span(span) - this->first_event;
  const double weight = WeightOf(this->first_events);
  this->first_event += weight * difference;
  if (this->first_events > 1) {
    this->deviation += weight * (Span(std::abs(difference.count())) - this->deviation);
  }
}

void ServicePace::RecordHold(std::chrono::nanoseconds span) {
  this->holds = std::min(this->holds + 1, kMinSamples * kMinSamples);
  this->hold += WeightOf(this->holds) * (Span(span) - this->hold);
}

milliseconds ServicePace::FirstEventTime(milliseconds objective) const {
  Span span = kUnknownShareOfObjective * Span(objective);
  if (this->first_events >= kMinSamples) {
    span = this->first_event + kDeviations * this->deviation;
  }
  return std::chrono::duration_cast<milliseconds>(
      std::min(span, kMaxShareOfObjective * Span(objective)));
}

milliseconds ServicePace::HoldTime() const {
  return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(
                                       this->holds == 0 ? kUsualHold : this->hold));
}

bool ServicePace::IsLearned() const { return this->holds >= kMinSamples; }

}  // namespace lentilhead::admission
