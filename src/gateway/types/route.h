#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lentilhead::gateway {

/// What may be done with the requests of a route.
enum class RouteKind {
  kIdempotent,     ///< may run more than once
  kNonIdempotent,  ///< runs at most once
  kStream,         ///< a series of events; runs at most once unless the route is resumable
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
  std::optional<std::chrono::milliseconds> timeout;    ///< longest time that a request is kept
  std::chrono::milliseconds target_latency{0};         ///< objective of the answer or first event
  std::optional<std::chrono::milliseconds> event_gap;  ///< objective between two events
  int max_attempts = 1;                                ///< endpoints that one request may reach
  int priority = 0;                                    ///< 0 is the most urgent
  bool resumable = false;                              ///< a stream may go on elsewhere
  std::chrono::milliseconds results_due{0};            ///< batch: objective of all results
  std::chrono::milliseconds give_up_after{0};          ///< batch: an item may be given up then
};

}  // namespace lentilhead::gateway
