#pragma once

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

namespace lentilhead::standin {

enum class EngineKind { kModel, kPlain };

/// Options of one simulated engine.
struct EngineOptions {
  std::uint16_t port = 0;  ///< 0 selects a free port.
  std::string name = "engine";
  std::string zone = "zone-a";
  std::string service = "service";
  EngineKind kind = EngineKind::kModel;
  int slots = 8;           ///< Maximum number of running requests.
  int queue_limit = 1024;  ///< Maximum number of waiting requests; more are refused as busy.
  std::chrono::milliseconds token_interval{10};
  std::chrono::milliseconds prefill{20};      ///< Time to the first token without a cached prefix.
  int cache_prefixes = 64;                    ///< Capacity of the prefix cache.
  std::chrono::milliseconds report_lag{200};  ///< Age of load reports and cache events.
  std::chrono::milliseconds load_time{0};     ///< Duration of a model load.
  bool fencing_enforced = true;               ///< Orders with a stale fencing token are refused.
  std::string model = "model";
  std::string version = "1";
  std::string role = "online";
  std::vector<std::string> adapters;
  /// Ends the process when a prompt with `poison-crash` is admitted; tests replace it.
  std::function<void()> crash = [] { std::_Exit(EXIT_FAILURE); };
};

}  // namespace lentilhead::standin
