#include "jobs/item_pace.h"

#include <algorithm>

namespace lentilhead::jobs {

namespace {

constexpr double kWeight = 0.1;  // of a new record in a moving average
// Shorter attempts are dominated by the time to the first event.
constexpr std::int64_t kMinEvents = 5;

void Average(double& average, double sample) {
  average = average == 0 ? sample : average + kWeight * (sample - average);
}

}  // namespace

void ItemPace::RecordAttempt(std::int64_t events, std::chrono::nanoseconds span) {
  if (events >= kMinEvents) {
    const std::chrono::duration<double, std::milli> ms = span;
    Average(this->ms_per_event, ms.count() / static_cast<double>(events));
  }
}

void ItemPace::RecordCompleted(std::int64_t tokens, std::int64_t events) {
  if (tokens > 0 && events > 0) {
    Average(this->events_per_token, static_cast<double>(events) / static_cast<double>(tokens));
  }
}

std::chrono::milliseconds ItemPace::LeftToRun(std::int64_t tokens,
                                              std::int64_t events_received) const {
  const double events = this->events_per_token * static_cast<double>(tokens);
  const double left = std::max(0.0, events - static_cast<double>(events_received));
  return std::chrono::milliseconds(static_cast<std::int64_t>(left * this->ms_per_event));
}

}  // namespace lentilhead::jobs
