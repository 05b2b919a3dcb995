#pragma once

#include "customers/quota_exchange.h"
#include "framework/metrics.h"
#include "gateway/admission.h"
#include "gateway/endpoint_paths.h"
#include "gateway/endpoint_registry.h"
#include "gateway/internal/idle_connections.h"
#include "gateway/outcome_watch.h"
#include "gateway/part_quarantine.h"
#include "gateway/route_durations.h"
#include "gateway/route_table.h"
#include "gateway/types/shutdown_times.h"
#include "net/memory_budget.h"
#include "placement/cost_estimator.h"

namespace lentilhead::gateway {

/// State that the components of a node share. It belongs to one event loop.
struct Gateway {
  Gateway(const net::asio::any_io_executor& executor, std::string zone)
      : executor(executor), registry(std::move(zone)), admission(executor, this->registry) {}

  /// Whether a configuration and the list of endpoints have been loaded, from any source.
  [[nodiscard]] bool HasClusterState() const {
    return this->routes.Config() != nullptr && this->endpoints_loaded;
  }

  /// Whether requests can be served.
  [[nodiscard]] bool CanServe() const { return this->HasClusterState() && this->evidence_loaded; }

  /// Counts the final outcome of an online request that was served, or that this node did not
  /// serve for a reason of its own or of the endpoints.
  void CountOutcome(std::string_view outcome, std::string_view reason) {
    this->metrics
        .GetCounter("gateway_requests_total",
                    {{"outcome", std::string(outcome)}, {"reason", std::string(reason)}})
        .Add();
    this->outcomes.Record(outcome == "served", reason);
  }

  net::asio::any_io_executor executor;
  RouteTable routes;
  EndpointRegistry registry;
  Admission admission;
  PartQuarantine quarantine;
  placement::CostEstimator costs;  ///< of requests, where services are placed by work
  net::MemoryBudget memory;        ///< of bytes that wait for slow readers
  framework::Metrics metrics;
  internal::IdleConnections idle_connections{this->metrics};
  EndpointPaths paths{this->executor, this->registry, this->metrics};
  bool endpoints_loaded = false;  ///< the list of endpoints has been loaded once
  /// The peers have sent what they know of held parts, or have been waited for.
  bool evidence_loaded = true;
  bool stopping = false;     ///< the node is shutting down
  ShutdownTimes shutdown;    ///< set when the node is shutting down
  RouteDurations durations;  ///< of online requests
  OutcomeWatch outcomes;     ///< of online requests
  /// Limits requests of customers with a quota; null in tests without quotas.
  customers::QuotaExchange* quotas = nullptr;
};

}  // namespace lentilhead::gateway
