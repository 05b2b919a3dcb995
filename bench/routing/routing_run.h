#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/routing/routing_scenario.h"
#include "endpoint/internal/endpoint_table.h"
#include "standin/engine/continuous_batch.h"

namespace lentilhead::bench {

/// Runs one routing scenario in virtual time.
class RoutingRun {
 public:
  RoutingRun(const RoutingScenario& scenario, const std::string& policy, std::uint64_t seed);

  RoutingResult Run();

 private:
  struct Sample {
    framework::MonotonicTime time;
    int running = 0;
    int waiting = 0;
  };

  struct Engine {
    std::string name;
    int slots = 0;
    std::unique_ptr<standin::ContinuousBatch> batch;
    std::deque<Sample> samples;  ///< Load during the last report lag, oldest first.
  };

  struct Request {
    std::size_t instance = 0;
    std::size_t engine = 0;
    framework::MonotonicTime arrival;
    bool measured = false;
  };

  void AddEngine(const EngineSpeed& speed);
  void AddInstance(const std::string& policy);
  [[nodiscard]] double ArrivalsPerSecond() const;
  void Arrive(framework::MonotonicTime now);
  void Advance(std::size_t index, framework::MonotonicTime now);
  void Handle(const standin::GenerationEvent& event);
  void Report(std::size_t instance, framework::MonotonicTime now);

  const RoutingScenario& scenario;
  std::mt19937_64 random;
  std::vector<Engine> engines;
  std::vector<std::unique_ptr<endpoint::internal::EndpointTable>> tables;
  std::unordered_map<std::uint64_t, Request> requests;
  std::uint64_t next_id = 1;
  std::vector<double> first_token_seconds;
  std::size_t admitted = 0;
  std::size_t cache_hits = 0;
};

}  // namespace lentilhead::bench
