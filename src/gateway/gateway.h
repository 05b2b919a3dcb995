#pragma once

#include "framework/metrics.h"
#include "gateway/admission.h"
#include "gateway/endpoint_registry.h"
#include "gateway/internal/connection_pool.h"
#include "gateway/route_table.h"

namespace lentilhead::gateway {

/// State of a node that its parts share; of one event loop.
struct Gateway {
  Gateway(const net::asio::any_io_executor& executor, std::string zone)
      : executor(executor), registry(std::move(zone)), admission(executor, this->registry) {}

  /// Whether a configuration and the list of endpoints are known, from any source.
  [[nodiscard]] bool HasClusterState() const {
    return this->routes.Config() != nullptr && this->endpoints_loaded;
  }

  net::asio::any_io_executor executor;
  RouteTable routes;
  EndpointRegistry registry;
  Admission admission;
  internal::ConnectionPool pool;
  framework::Metrics metrics;
  bool endpoints_loaded = false;  ///< the list of endpoints has been read
  bool stopping = false;          ///< the node leaves
};

}  // namespace lentilhead::gateway
