#pragma once

#include <memory>
#include <optional>

#include "gateway/types/endpoint_state.h"

namespace lentilhead::gateway {

/// Whether an endpoint was chosen, or why not.
enum class NoChoice {
  kChosen,    ///< an endpoint was chosen
  kAllFull,   ///< no endpoint that may take the request now has a free slot
  kNoUsable,  ///< no usable endpoint besides the excluded ones
  kTooLarge,  ///< the request needs more memory than an endpoint of the service has
};

/// Outcome of choosing an endpoint.
struct Choice {
  std::shared_ptr<EndpointState> endpoint;  ///< null if none was chosen
  NoChoice reason = NoChoice::kChosen;
  /// Most tokens that an endpoint with a free slot can take; set if the request needs more, so that
  /// a smaller one could be sent.
  std::optional<double> free_memory{};
};

}  // namespace lentilhead::gateway
