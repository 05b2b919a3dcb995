#pragma once

namespace lentilhead::gateway {

/// Bounds of the weight of an end as evidence.
struct EndWeight {
  static constexpr int kMin = 1;  ///< only the connection is known to be lost
  static constexpr int kMax = 4;  ///< the endpoint ended, and the answer had begun
};

}  // namespace lentilhead::gateway
