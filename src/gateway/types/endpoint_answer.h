#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/types/limit_notice.h"
#include "gateway/types/reported_load.h"

namespace lentilhead::gateway {

/// Fields decoded from the head of an endpoint's answer.
struct EndpointAnswer {
  std::string request_id;       ///< id of the answered request; empty if not stated
  bool not_executed = false;    ///< the endpoint states that the request did not run
  bool other_instance = false;  ///< another endpoint now has the address
  bool other_weights = false;  ///< the endpoint does not have the weights that the request asks for
  bool is_signed = false;      ///< carries the endpoint's signature
  bool is_event_stream = true;  ///< the body is a series of events; false if another type is stated
  bool is_leaving = false;      ///< the endpoint finishes its open work and exits
  bool is_encoded = false;      ///< the body has a content encoding
  std::optional<ReportedLoad> load;
  LimitNotice limit;

  /// Whether a successful answer has events that belong to the request and can be read.
  [[nodiscard]] bool HasEvents() const {
    return this->is_signed && this->is_event_stream && !this->is_encoded;
  }
};

}  // namespace lentilhead::gateway
