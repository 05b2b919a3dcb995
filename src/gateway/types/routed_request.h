#pragma once

#include <memory>
#include <string>

#include "gateway/types/inference_request.h"
#include "gateway/types/serving_config.h"

namespace lentilhead::gateway {

/// An admitted online request with the route that it follows.
struct RoutedRequest {
  InferenceRequest request;
  std::shared_ptr<const ServingConfig> config;  ///< keeps the route alive
  const Route* route = nullptr;
  std::string service;
  net::SteadyTime arrival;
  net::SteadyTime deadline;  ///< the caller's or the route's, whichever comes first

  /// Whether the request may run more than once.
  [[nodiscard]] bool IsRepeatable() const {
    return this->route->kind == RouteKind::kIdempotent ||
           (this->route->kind == RouteKind::kStream && this->route->resumable);
  }
};

}  // namespace lentilhead::gateway
