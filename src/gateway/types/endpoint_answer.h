#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/types/reported_load.h"

namespace lentilhead::gateway {

/// What the head of an endpoint's answer says.
struct EndpointAnswer {
  std::string request_id;       ///< id of the request that it answers
  bool not_executed = false;    ///< the endpoint states that it did not run the request
  bool other_instance = false;  ///< the address belongs to another endpoint now
  bool is_signed = false;       ///< carries the endpoint's signature
  std::optional<ReportedLoad> load;
  std::optional<std::chrono::seconds> idle_limit;  ///< idle time after which it closes
};

}  // namespace lentilhead::gateway
