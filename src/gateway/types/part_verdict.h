#pragma once

#include <chrono>
#include <variant>

#include "gateway/types/prompt_part.h"

namespace lentilhead::gateway {

/// No part of the prompt is held back.
struct PartsAllowed {};

/// The request must not be sent.
struct PartHeld {
  PartKey part = 0;
  std::chrono::milliseconds retry_after{0};  ///< until the next probe
};

/// The request may be sent once, to find out whether the part still ends endpoints.
struct PartProbe {
  PartKey part = 0;
};

/// Whether a request may be sent to an endpoint, by the parts of its prompt.
using PartVerdict = std::variant<PartsAllowed, PartHeld, PartProbe>;

}  // namespace lentilhead::gateway
