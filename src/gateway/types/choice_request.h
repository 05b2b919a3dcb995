#pragma once

#include <string>
#include <vector>

#include "gateway/types/work_class.h"

namespace lentilhead::gateway {

/// What an endpoint is wanted for.
struct ChoiceRequest {
  std::string service;
  std::vector<std::string> excluded;  ///< ids of endpoints that were tried
  WorkClass work = WorkClass::kOnline;
};

}  // namespace lentilhead::gateway
