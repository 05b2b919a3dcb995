#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "gateway/types/prompt_part.h"

namespace lentilhead::gateway {

/// An endpoint that ended while it held a request with a part.
struct PartEnd {
  std::uint32_t endpoint = 0;  ///< incarnation of the endpoint
  std::uint32_t request = 0;   ///< key of the request's id
  int weight = 0;              ///< greater if the answer had begun, less if the end is not certain
  std::chrono::milliseconds age{0};
};

/// What a node knows about a part under which endpoints ended, or about a whole request; sent to
/// other nodes.
struct PartEvidence {
  /// Depth of the key of a whole request.
  static constexpr int kWholeRequest = 1000;

  PartKey part = 0;
  int depth = 0;  ///< position in the prompt, or kWholeRequest
  std::vector<PartEnd> ends;
  /// Age of the last answer to a request with the part; empty if none is known.
  std::optional<std::chrono::milliseconds> answer_age;
  int probes = 0;  ///< single requests that were sent while the part was held back
  std::chrono::milliseconds probe_age{0};  ///< of the last probe
};

}  // namespace lentilhead::gateway
