#pragma once

#include <memory>

#include "gateway/types/endpoint_state.h"

namespace lentilhead::gateway {

/// Whether an endpoint was chosen, or why not.
enum class NoChoice {
  kChosen,    ///< an endpoint was chosen
  kAllFull,   ///< no endpoint that may take the request now has a free slot
  kNoUsable,  ///< no usable endpoint besides the excluded ones
};

/// Outcome of choosing an endpoint.
struct Choice {
  std::shared_ptr<EndpointState> endpoint;  ///< null if none was chosen
  NoChoice reason = NoChoice::kChosen;
};

}  // namespace lentilhead::gateway
