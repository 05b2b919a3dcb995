#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "endpoint/types/load_report.h"
#include "framework/types/time_types.h"

namespace lentilhead::endpoint::internal {

/// Estimate of an endpoint's load from its last report and this process's own attempts since then.
class LoadEstimate {
 public:
  /// @param lag assumed age of a report when it arrives.
  explicit LoadEstimate(std::chrono::nanoseconds lag) : lag(lag) {}

  void OnAttemptStarted(framework::MonotonicTime now);
  void OnAttemptEnded(framework::MonotonicTime now);

  /// @param requested_at time at which the report was requested.
  void OnReport(LoadReport report, framework::MonotonicTime requested_at);

  /// Returns the estimated requests at the endpoint: those reported, corrected by own attempts that
  /// started or ended after the time that the report describes.
  [[nodiscard]] int Requests() const;

  [[nodiscard]] int InFlight() const { return this->in_flight; }
  [[nodiscard]] const std::optional<LoadReport>& Report() const { return this->report; }
  /// Time at which the last report was requested.
  [[nodiscard]] framework::MonotonicTime ReportedAt() const { return this->reported_at; }

 private:
  struct Change {
    framework::MonotonicTime time;
    int in_flight;  ///< After the change.
  };

  void RecordChange(framework::MonotonicTime now);
  [[nodiscard]] int InFlightAt(framework::MonotonicTime time) const;

  std::chrono::nanoseconds lag;
  int in_flight = 0;
  int in_flight_reported = 0;  ///< Own attempts that the report includes.
  std::optional<LoadReport> report;
  framework::MonotonicTime reported_at;
  std::deque<Change> changes;  ///< Oldest first; bounded.
};

}  // namespace lentilhead::endpoint::internal
