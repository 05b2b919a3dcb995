#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/http_types.h"

namespace lentilhead::gateway {

/// Settings of a node, as the platform provides them.
struct NodeSettings {
  std::string name;
  std::string zone;
  net::tcp::endpoint callers;               ///< listener for callers
  net::tcp::endpoint readiness;             ///< listener for readiness checks
  std::optional<net::tcp::endpoint> peers;  ///< listener for other nodes
  std::uint16_t load_port = 0;              ///< UDP port of peer messages, the same on all nodes
  std::vector<net::tcp::endpoint> seeds;    ///< peer listeners of a few nodes; may be stale
  net::tcp::endpoint store;
  std::size_t row_bytes = 65536;               ///< largest value of a row
  std::chrono::milliseconds stop_grace{8000};  ///< time between the stop signal and the kill
  /// Shortest time after acceptance for which a job stays readable.
  std::chrono::milliseconds job_retention{120000};
  /// Most bytes held for slow readers; none are counted if missing.
  std::optional<std::size_t> held_bytes;
};

}  // namespace lentilhead::gateway
