#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilhead::gateway {

/// How the requests of a route may be run.
enum class RouteKind {
  kIdempotent,     ///< may run more than once
  kNonIdempotent,  ///< runs at most once
  kStream,         ///< event streams; run at most once unless the route is resumable
  kBatch,          ///< batch jobs
};

/// Share of a route's requests that goes to a service.
struct ServiceShare {
  std::string service;
  double weight = 0;
};

/// How the requests of one host and path prefix are served.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<ServiceShare> services;
  std::optional<std::chrono::milliseconds> timeout;  ///< longest time from arrival to end
  std::chrono::milliseconds target_latency{0};  ///< objective for the answer or the first event
  std::optional<std::chrono::milliseconds> event_gap;  ///< objective between two events
  /// Endpoints that one request may be sent to. Batch: failed runs after which an item is given up.
  int max_attempts = 1;
  int priority = 0;                          ///< 0 is the most urgent
  bool resumable = false;                    ///< another endpoint may continue a stream
  bool anonymous = false;                    ///< requests carry no API key
  std::chrono::milliseconds results_due{0};  ///< batch: objective for all results
  /// Batch: time after acceptance when the remaining items are given up.
  std::chrono::milliseconds give_up_after{0};
  /// Batch: limit on the tokens of accepted items that have not ended, over all nodes; 0 for none.
  std::int64_t max_waiting_tokens = 0;

  /// Names the route in stored rows: its host and path prefix.
  [[nodiscard]] std::string Key() const { return this->host + this->path_prefix; }
};

}  // namespace lentilhead::gateway
