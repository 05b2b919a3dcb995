#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "customers/customer_directory.h"
#include "gateway/types/caller_limits.h"
#include "gateway/types/engine_memory.h"
#include "gateway/types/route.h"

namespace lentilhead::gateway {

/// One version of the operator's configuration.
struct ServingConfig {
  std::int64_t version = 0;
  std::vector<Route> routes;
  CallerLimits limits;
  std::vector<EngineMemory> engines;                             ///< of the services that state it
  std::map<std::string, std::string, std::less<>> health_paths;  ///< by service that states one
  customers::CustomerDirectory customers;

  /// Path of the health call of a service's endpoints; empty if that is not stated.
  [[nodiscard]] std::string HealthPath(std::string_view service) const {
    const auto found = this->health_paths.find(service);
    return found == this->health_paths.end() ? std::string() : found->second;
  }

  /// Tokens that an endpoint of a service can hold; 0 if that is not stated.
  [[nodiscard]] double EndpointMemory(std::string_view service) const {
    for (const EngineMemory& engine : this->engines) {
      if (engine.service == service) {
        return static_cast<double>(engine.tokens);
      }
    }
    return 0;
  }
};

}  // namespace lentilhead::gateway
