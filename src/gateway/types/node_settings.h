#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// Settings of a node as its platform gives them.
struct NodeSettings {
  std::string name;
  std::string zone;
  net::tcp::endpoint callers;               ///< listener of callers
  net::tcp::endpoint readiness;             ///< listener of the readiness check
  std::optional<net::tcp::endpoint> peers;  ///< listener of other nodes
  std::uint16_t load_port = 0;              ///< UDP port of load messages, the same on all nodes
  std::vector<net::tcp::endpoint> seeds;    ///< peers' listeners of a few nodes, maybe stale
  net::tcp::endpoint store;
  std::size_t row_bytes = 65536;                    ///< largest value of a row
  std::chrono::milliseconds stop_grace{8000};       ///< from the stop signal to the kill
  std::chrono::milliseconds job_retention{120000};  ///< a job stays readable at least so long
};

}  // namespace lentilhead::gateway
