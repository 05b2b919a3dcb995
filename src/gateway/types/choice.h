#pragma once

#include <memory>

#include "gateway/types/endpoint_state.h"

namespace lentilhead::gateway {

/// Why no endpoint was chosen.
enum class NoChoice {
  kNone,       ///< an endpoint was chosen
  kAllFull,    ///< no usable endpoint has a free slot
  kNotListed,  ///< no usable endpoint is listed
};

/// Outcome of choosing an endpoint.
struct Choice {
  std::shared_ptr<EndpointState> endpoint;  ///< null if none was chosen
  NoChoice reason = NoChoice::kNone;
};

}  // namespace lentilhead::gateway
