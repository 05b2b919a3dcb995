#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace lentilhead::gateway {

/// How the requests of a route may be run.
enum class RouteKind {
  kIdempotent,     ///< may run more than once
  kNonIdempotent,  ///< runs at most once
  kStream,  ///< answers with an event stream; runs at most once unless the route is resumable
  kBatch,   ///< batch jobs
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
  std::optional<std::chrono::milliseconds>
      timeout;  ///< longest time from arrival to the end of the answer
  std::chrono::milliseconds target_latency{0};  ///< objective for the answer or the first event
  std::optional<std::chrono::milliseconds>
      event_gap;                               ///< objective for the time between two events
  int max_attempts = 1;                        ///< endpoints that one request may be sent to
  int priority = 0;                            ///< 0 is the most urgent
  bool resumable = false;                      ///< another endpoint may continue a stream
  std::chrono::milliseconds results_due{0};    ///< batch: objective for all results
  std::chrono::milliseconds give_up_after{0};  ///< batch: after that, an item may be given up
};

}  // namespace lentilhead::gateway
