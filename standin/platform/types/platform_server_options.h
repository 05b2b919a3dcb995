#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lentilhead::standin {

/// Options of the simulated platform.
struct PlatformServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;                 ///< 0 selects a free port.
  std::chrono::milliseconds list_lag{0};  ///< Time until a change is visible.
  double writes_per_second = 1e6;         ///< Limit of each service separately.
  double reads_per_second = 1e6;          ///< Limit of each service separately.
  double weight_bytes_per_second = 1e9;   ///< Total of all weight downloads.
  std::size_t weight_size = 1 << 20;      ///< Size of every model's weights in bytes.
  std::size_t page_size = 1000;           ///< Maximum entities in one page of a query.
};

}  // namespace lentilhead::standin
