#pragma once

#include <optional>
#include <utility>

#include "endpoint/internal/endpoint_health.h"
#include "endpoint/internal/load_estimate.h"
#include "endpoint/types/endpoint_info.h"
#include "framework/types/time_types.h"

namespace lentilhead::endpoint::internal {

/// State of one endpoint in the table.
struct EndpointRecord {
  EndpointRecord(EndpointInfo info, std::chrono::nanoseconds ejection_time,
                 std::chrono::nanoseconds report_lag)
      : info(std::move(info)), health(ejection_time), load(report_lag) {}

  EndpointInfo info;
  bool listed = true;
  bool listed_as_leaving = false;                      ///< The platform lists it as leaving.
  bool operator_drained = false;                       ///< An operator drains it.
  std::optional<framework::MonotonicTime> refused_at;  ///< Last refusal while draining.
  bool in_subset = false;
  int watchers = 0;
  int failed_reports = 0;  ///< Consecutive failures.
  EndpointHealth health;
  LoadEstimate load;
  double first_byte_seconds = 0;  ///< Moving average; 0 before the first answer.
  double round_position = 0;      ///< Requests per slot sent so far, for the weighted round robin.
};

}  // namespace lentilhead::endpoint::internal
