#pragma once

#include <cstdint>
#include <functional>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// An attempt at an endpoint that is in progress, as far as paths are concerned.
struct OpenAttempt {
  std::uint32_t key = 0;          ///< of the endpoint
  bool is_relayed = false;        ///< the connection leads through a peer
  bool may_repeat = false;        ///< the request may be sent again if the attempt is ended
  net::SteadyTime heard_at;       ///< when the request was sent or bytes arrived last
  net::SteadyTime arrived_after;  ///< earliest arrival of the last bytes; the epoch if none
  std::function<void()> end;      ///< ends the attempt as if the connection were lost
};

}  // namespace lentilhead::gateway
