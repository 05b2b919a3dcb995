#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace lentilhead::gateway {

/// Average time of the requests of each route, the recent ones weighing most.
class RouteDurations {
 public:
  /// Records a request that was served.
  void Record(const std::string& route, std::chrono::milliseconds duration);

  /// Average of a route; empty before its first request was served.
  [[nodiscard]] std::optional<std::chrono::milliseconds> Average(const std::string& route) const;

 private:
  std::map<std::string, std::chrono::duration<double, std::milli>> averages;
};

}  // namespace lentilhead::gateway
