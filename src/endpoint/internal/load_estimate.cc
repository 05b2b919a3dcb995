#include "endpoint/internal/load_estimate.h"

#include <algorithm>
#include <utility>

namespace lentilhead::endpoint::internal {

namespace {

constexpr std::size_t kMaxChanges = 128;

}  // namespace

void LoadEstimate::OnAttemptStarted(framework::MonotonicTime now) {
  this->in_flight += 1;
  this->RecordChange(now);
}

void LoadEstimate::OnAttemptEnded(framework::MonotonicTime now) {
  if (this->in_flight == 0) {
    return;
  }
  this->in_flight -= 1;
  this->RecordChange(now);
}

void LoadEstimate::OnReport(LoadReport new_report, framework::MonotonicTime requested_at) {
  if (this->report && requested_at < this->reported_at) {
    return;
  }
  this->in_flight_reported = this->InFlightAt(requested_at - this->lag);
  this->report = std::move(new_report);
  this->reported_at = requested_at;
}

int LoadEstimate::Requests() const {
  if (!this->report) {
    return this->in_flight;
  }
  const int reported = this->report->running + this->report->waiting;
  const int others = std::max(0, reported - this->in_flight_reported);
  return others + this->in_flight;
}

void LoadEstimate::RecordChange(framework::MonotonicTime now) {
  if (!this->changes.empty() && this->changes.back().time == now) {
    this->changes.back().in_flight = this->in_flight;
    return;
  }
  this->changes.push_back({now, this->in_flight});
  if (this->changes.size() > kMaxChanges) {
    this->changes.pop_front();
  }
}

int LoadEstimate::InFlightAt(framework::MonotonicTime time) const {
  const auto later = std::upper_bound(
      this->changes.begin(), this->changes.end(), time,
      [](framework::MonotonicTime at, const Change& change) { return at < change.time; });
  if (later == this->changes.begin()) {
    // If the history is full, older changes have been removed, and the oldest one left is the
    // nearest value.
    return this->changes.size() < kMaxChanges ? 0 : this->changes.front().in_flight;
  }
  return std::prev(later)->in_flight;
}

}  // namespace lentilhead::endpoint::internal
