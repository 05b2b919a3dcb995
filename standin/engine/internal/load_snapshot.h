#pragma once

#include <string>
#include <vector>

namespace lentilhead::standin {

/// Load of the engine at one point in time.
struct LoadSnapshot {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  bool draining = false;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;

  bool operator==(const LoadSnapshot&) const = default;
};

/// Renders the JSON body of a load report.
std::string RenderLoad(const LoadSnapshot& snapshot);

}  // namespace lentilhead::standin
