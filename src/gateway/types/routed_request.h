#pragma once

#include <memory>
#include <string>

#include "gateway/types/inference_request.h"
#include "gateway/types/serving_config.h"

namespace lentilhead::gateway {

/// A request with the configuration and the route that apply to it.
struct RoutedRequest {
  InferenceRequest request;                     ///< empty for a call on batch jobs
  std::shared_ptr<const ServingConfig> config;  ///< owns the route
  const Route* route = nullptr;                 ///< null for a call on an existing job
  /// Customer whose key the caller sent; null if the configuration knows no customers or the route
  /// is anonymous. Owned by the configuration.
  const customers::Customer* customer = nullptr;
  std::string service;  ///< service picked for an online request; empty for batch jobs
  net::SteadyTime arrival;
  /// Online requests: the earlier of the caller's and the route's; batch jobs: the latest answer.
  net::SteadyTime deadline;

  /// Priority of an online request; 0 is the most urgent. The route must not be null.
  [[nodiscard]] int Priority() const {
    const bool own = this->customer != nullptr && this->customer->priority.has_value();
    return own ? *this->customer->priority : this->route->priority;
  }

  /// Whether the request may run more than once. The route must not be null.
  [[nodiscard]] bool IsRepeatable() const {
    return this->route->kind == RouteKind::kIdempotent ||
           (this->route->kind == RouteKind::kStream && this->route->resumable);
  }
};

}  // namespace lentilhead::gateway
