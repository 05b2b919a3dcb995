#include "gateway/route_table.h"

#include <algorithm>

namespace lentilhead::gateway {

bool RouteTable::Adopt(std::shared_ptr<const ServingConfig> config) {
  if (!config || config->version <= this->Version()) {
    return false;
  }
  this->config = std::move(config);
  this->by_host.clear();
  for (const Route& route : this->config->routes) {
    this->by_host[route.host].push_back(&route);
  }
  for (auto& [host, routes] : this->by_host) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
  return true;
}

const Route* RouteTable::Match(const std::string& host, const std::string& path) const {
  const auto routes = this->by_host.find(host);
  if (routes == this->by_host.end()) {
    return nullptr;
  }
  for (const Route* route : routes->second) {
    if (path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const Route* RouteTable::FindBatchRoute(const std::string& host) const {
  const auto routes = this->by_host.find(host);
  if (routes == this->by_host.end()) {
    return nullptr;
  }
  const auto found =
      std::find_if(routes->second.begin(), routes->second.end(),
                   [](const Route* route) { return route->kind == RouteKind::kBatch; });
  return found == routes->second.end() ? nullptr : *found;
}

std::string RouteTable::PickService(const Route& route, double draw) {
  double total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
  }
  double left = draw * total;
  for (const ServiceShare& share : route.services) {
    left -= share.weight;
    if (left < 0) {
      return share.service;
    }
  }
  return route.services.empty() ? "" : route.services.back().service;
}

}  // namespace lentilhead::gateway
