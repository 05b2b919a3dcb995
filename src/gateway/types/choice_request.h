#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "gateway/types/work_class.h"
#include "placement/types/request_cost.h"

namespace lentilhead::gateway {

/// Criteria for choosing an endpoint.
struct ChoiceRequest {
  std::string service;
  std::vector<std::string>
      excluded;  ///< ids of endpoints not to choose, such as those already tried
  WorkClass work = WorkClass::kOnline;
  bool only_healthy = false;  ///< rather none than an endpoint that is suspected
  bool has_begun = false;     ///< the caller has a part of the answer, or the request may have run
  /// Expected cost, where the service is placed by work.
  placement::RequestCost cost{};
  /// Tokens that an endpoint can hold; 0 if the configuration does not tell.
  double endpoint_memory = 0;
  /// Batch: time that the item can wait and still be on time.
  std::chrono::milliseconds time_to_spare{0};
  std::uint32_t customer = 0;  ///< key of the customer of an online request; 0 for none
};

}  // namespace lentilhead::gateway
