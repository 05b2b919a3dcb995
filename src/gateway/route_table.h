#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/types/serving_config.h"

namespace lentilhead::gateway {

/// The configuration in force, ready for matching. Versions never go back.
class RouteTable {
 public:
  /// Takes over a newer version.
  /// @return false when the version in force is the same or newer.
  bool Adopt(std::shared_ptr<const ServingConfig> config);

  /// Finds the route with the longest prefix.
  /// @param host host in lower case, without port.
  /// @return nothing when no route matches.
  [[nodiscard]] const Route* Match(const std::string& host, const std::string& path) const;

  /// Tells whether a host has a route of batch jobs.
  [[nodiscard]] bool HasBatchRoute(const std::string& host) const;

  /// The configuration in force; null before the first.
  [[nodiscard]] const std::shared_ptr<const ServingConfig>& Config() const { return this->config; }

  [[nodiscard]] std::int64_t Version() const { return this->config ? this->config->version : -1; }

  /// Picks a service by the weights of a route.
  /// @param draw random number from 0 up to, but not including, 1.
  /// @return empty when the route names no service.
  [[nodiscard]] static std::string PickService(const Route& route, double draw);

 private:
  std::shared_ptr<const ServingConfig> config;
  std::map<std::string, std::vector<const Route*>> by_host;  ///< longest prefix first
};

}  // namespace lentilhead::gateway
