#pragma once

#include <string>

namespace lentilhead::gateway {

/// A service that endpoints provide.
struct Service {
  std::string name;
  int max_connections = 0;  ///< connections that an endpoint takes from all callers; 0 if unknown
  bool is_engine = false;   ///< runs a model
};

}  // namespace lentilhead::gateway
