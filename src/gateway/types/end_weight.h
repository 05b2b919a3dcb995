#pragma once

namespace lentilhead::gateway {

/// Weights of an end as evidence.
struct EndWeight {
  static constexpr int kUncertain = 1;   ///< only the connection is known to be lost
  static constexpr int kUnanswered = 2;  ///< the endpoint ended; the request may still have waited
  static constexpr int kBegun = 4;       ///< the endpoint ended, and the answer had begun
};

}  // namespace lentilhead::gateway
