#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/types/serving_config.h"

namespace lentilhead::gateway {

/// The active configuration, indexed by host. Its version never decreases.
class RouteTable {
 public:
  /// Activates a newer version.
  /// @return false if the active version is the same or newer, or `config` is null.
  bool Adopt(std::shared_ptr<const ServingConfig> config);

  /// Finds the route with the longest path prefix that matches.
  /// @param host host in lower case, without port.
  /// @return null when no route matches.
  [[nodiscard]] const Route* Match(const std::string& host, const std::string& path) const;

  /// Finds a host's route for batch jobs with the longest path prefix.
  /// @return null if it has none.
  [[nodiscard]] const Route* FindBatchRoute(const std::string& host) const;

  /// Tells whether a host has a route for batch jobs.
  [[nodiscard]] bool HasBatchRoute(const std::string& host) const {
    return this->FindBatchRoute(host) != nullptr;
  }

  /// The active configuration; null before the first Adopt().
  [[nodiscard]] const std::shared_ptr<const ServingConfig>& Config() const { return this->config; }

  /// Version of the active configuration; -1 without one.
  [[nodiscard]] std::int64_t Version() const { return this->config ? this->config->version : -1; }

  /// Picks one of a route's services at random, by their weights.
  /// @param draw random number from 0 up to, but not including, 1.
  /// @return empty when the route names no service.
  [[nodiscard]] static std::string PickService(const Route& route, double draw);

 private:
  std::shared_ptr<const ServingConfig> config;
  std::map<std::string, std::vector<const Route*>> by_host;  ///< longest prefix first
};

}  // namespace lentilhead::gateway
