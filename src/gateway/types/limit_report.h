#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "gateway/types/failure_report.h"

namespace lentilhead::gateway {

/// What a node tells its peers of one endpoint that names a limit.
struct EndpointLimitReport {
  std::uint32_t incarnation = 0;  ///< of the endpoint
  double limit = 0;               ///< requests per second; 0 if the node knows none
  std::uint32_t sent = 0;         ///< requests that the node sent there since it knows the limit
  std::uint32_t namings = 0;      ///< answers to the node that named a limit
  std::uint32_t unnamed = 0;      ///< answers to the node that named none since the last naming
  std::chrono::milliseconds named_age{0};  ///< time since the last naming to the node
  std::chrono::milliseconds known_age{0};  ///< time since the last naming that the node knows of
};

/// What a node tells its peers of the limits that endpoints name.
struct LimitReport {
  std::vector<KeyedCount> demand;         ///< online requests by service, decaying counts
  std::vector<std::uint32_t> batch_work;  ///< services for which the node has batch items waiting
  std::vector<EndpointLimitReport> endpoints;

  [[nodiscard]] bool IsEmpty() const {
    return this->demand.empty() && this->batch_work.empty() && this->endpoints.empty();
  }
};

}  // namespace lentilhead::gateway
