#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lentilhead::gateway {

/// A decayed count of one node, in tenths.
struct KeyedCount {
  std::uint32_t key = 0;  ///< hash of the id of an endpoint, or of the name of a service
  int tenths = 0;
};

/// What one node saw of endpoints lately.
struct FailureReport {
  std::string zone;                  ///< availability zone of the node
  std::vector<KeyedCount> attempts;  ///< attempts at all endpoints of each service
  std::vector<KeyedCount> failures;  ///< failed attempts at single endpoints
};

}  // namespace lentilhead::gateway
