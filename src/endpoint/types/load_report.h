#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lentilhead::endpoint {

/// Load that an endpoint reported. A report lags behind the endpoint's state.
struct LoadReport {
  int running = 0;  ///< Requests whose answers are being generated.
  int waiting = 0;  ///< Requests in the endpoint's own queue.
  int slots = 1;    ///< Maximum number of requests that run at once.
  bool draining = false;
  std::string model;  ///< Loaded model, without its version; empty for plain services.
  std::string version;
  std::vector<std::string> adapters;
  std::string role;  ///< Roles as written in the sheet, separated by `|`; empty for any work.
};

}  // namespace lentilhead::endpoint
