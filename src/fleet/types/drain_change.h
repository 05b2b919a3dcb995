#pragma once

#include <string>

namespace lentilhead::fleet {

enum class DrainTarget { kEndpoint, kInstance };

/// Operator's request to drain a target, or to end its drain.
struct DrainChange {
  DrainTarget target = DrainTarget::kEndpoint;
  std::string name;
  bool drained = true;
  std::string changed_by;
};

}  // namespace lentilhead::fleet
