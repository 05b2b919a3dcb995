#pragma once

#include <chrono>
#include <optional>
#include <set>
#include <string>

namespace lentilhead::sheet {

/// What an endpoint of a service does for it.
enum class Role { kOnline, kBatch };

/// Time of day between which a row applies; a window that ends before it starts spans midnight.
struct Window {
  std::chrono::minutes start{0};  ///< Since midnight, UTC.
  std::chrono::minutes end{24 * 60};

  bool operator==(const Window&) const = default;
};

/// One row of the sheet: what one service must offer.
struct SheetRow {
  std::string service;
  std::string model;
  std::string version;
  std::string adapter;          ///< Empty if the model runs without one.
  int capacity = 0;             ///< Endpoints that must serve the row.
  std::set<std::string> zones;  ///< Empty means every availability zone.
  std::set<Role> roles;
  Window window;

  bool operator==(const SheetRow&) const = default;
};

}  // namespace lentilhead::sheet
