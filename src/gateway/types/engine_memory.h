#pragma once

#include <cstdint>
#include <string>

namespace lentilhead::gateway {

/// Memory of a service's endpoints, which running requests and parts of prompts share.
struct EngineMemory {
  std::string service;
  std::int64_t tokens = 0;
};

}  // namespace lentilhead::gateway
