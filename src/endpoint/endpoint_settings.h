#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "endpoint/types/service_settings.h"
#include "framework/settings_reader.h"

namespace lentilhead::endpoint {

/// Settings `[routing]` and `[[service]]`: the services and how routing chooses among their
/// endpoints.
class EndpointSettings {
 public:
  static EndpointSettings Read(framework::SettingsReader& reader);

  /// Returns the settings of a service, or null.
  [[nodiscard]] const ServiceSettings* FindService(const std::string& name) const;

  std::vector<ServiceSettings> services;            ///< `[[service]]`
  std::string policy = "bounded_turns";             ///< `routing.policy`
  int subset_size = 12;                             ///< `routing.subset_size`
  std::chrono::milliseconds report_period{250};     ///< `routing.report_period_ms`
  std::chrono::milliseconds report_timeout{1'000};  ///< `routing.report_timeout_ms`
  std::chrono::milliseconds list_period{2'000};     ///< `routing.list_period_ms`
  std::chrono::milliseconds ejection_time{10'000};  ///< `routing.ejection_time_ms`
  double max_ejected_share = 0.34;                  ///< `routing.max_ejected_share`
  double reports_per_second = 40;                   ///< `routing.reports_per_second`
  std::chrono::milliseconds report_lag{200};  ///< `routing.report_lag_ms`, assumed age of a report
};

}  // namespace lentilhead::endpoint
