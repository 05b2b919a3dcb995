#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lentilhead::gateway {

/// A decaying count of one node, in tenths.
struct KeyedCount {
  std::uint32_t key = 0;  ///< hash of the id of an endpoint, or of the name of a service
  int tenths = 0;
};

/// Recent attempts and failures at endpoints, as counted by one node.
struct FailureReport {
  std::string zone;                  ///< availability zone of the node
  std::vector<KeyedCount> attempts;  ///< attempts per service, over all its endpoints
  std::vector<KeyedCount> failures;  ///< failed attempts per endpoint
};

}  // namespace lentilhead::gateway
