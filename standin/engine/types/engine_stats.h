#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace lentilhead::standin {

/// Counters of an engine, for tests.
struct EngineStats {
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t refused_busy = 0;
  std::uint64_t refused_draining = 0;
  std::uint64_t tokens = 0;
  std::uint64_t cache_hits = 0;
  std::uint64_t cache_misses = 0;
  std::map<std::string, int> running;            ///< Running requests by request class.
  std::map<std::string, int> most_running;       ///< Maximum of `running` by request class.
  std::map<std::string, std::uint64_t> started;  ///< Started requests by request class.
  std::map<std::string, int> runs;               ///< Started requests by idempotency key.

  void OnRunStarted(const std::string& request_class, const std::string& idempotency_key);
  void OnRunEnded(const std::string& request_class);
  [[nodiscard]] std::string Render() const;
};

}  // namespace lentilhead::standin
