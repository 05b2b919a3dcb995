#pragma once

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace lentilhead::load {

/// Poisson arrivals at a constant rate.
struct PoissonArrivals {
  double rate = 0;  ///< Arrivals per second.
};

/// Poisson arrivals with another rate in a burst at the start of each period.
struct BurstArrivals {
  double rate = 0;        ///< Arrivals per second outside bursts.
  double burst_rate = 0;  ///< Arrivals per second in a burst.
  std::chrono::milliseconds period{0};
  std::chrono::milliseconds length{0};  ///< Duration of a burst.
};

using Arrivals = std::variant<PoissonArrivals, BurstArrivals>;

/// Calls of a model.
struct ModelWorkload {
  std::string model;
  bool stream = true;
  int max_tokens = 32;
  int prompt_words = 24;
  int shared_prefixes = 0;  ///< Number of prompt prefixes that calls share; 0 for none.
};

/// Calls of a plain service.
struct PlainWorkload {
  std::string service;
  std::string method = "GET";
  std::string path = "/";
  bool idempotency_key = false;
  double resend_share = 0;  ///< Share of calls that reuse the idempotency key of the call before.
};

/// Online calls of one kind and their arrivals.
struct Workload {
  std::string name;
  std::string caller;
  Arrivals arrivals;
  std::variant<ModelWorkload, PlainWorkload> calls;
  std::chrono::milliseconds timeout{30'000};
};

}  // namespace lentilhead::load
