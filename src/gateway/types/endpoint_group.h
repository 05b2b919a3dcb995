#pragma once

#include <map>
#include <string>

namespace lentilhead::gateway {

/// The endpoints that the nodes of a group use first.
struct EndpointGroup {
  /// Number of groups that use each endpoint of this group, by its id.
  std::map<std::string, int> shared_by;
  bool is_whole = true;  ///< the group uses all endpoints
};

}  // namespace lentilhead::gateway
