#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "framework/types/time_types.h"
#include "standin/engine/prefix_cache.h"
#include "standin/engine/types/batch_timing.h"
#include "standin/engine/types/generation_event.h"
#include "standin/engine/types/generation_request.h"

namespace lentilhead::standin {

/// Queue and slots of an engine with continuous batching, which admits requests in arrival order.
///
/// The class reads no clock and starts no timer: callers pass the time and receive events.
class ContinuousBatch {
 public:
  explicit ContinuousBatch(BatchTiming timing);

  /// Adds a request at the end of the queue.
  void Submit(const GenerationRequest& request, framework::MonotonicTime now);

  /// Removes a waiting or running request. Ignores unknown ids.
  void Cancel(std::uint64_t id, framework::MonotonicTime now);

  /// Returns the time of the next event, or no value if no event is pending.
  [[nodiscard]] std::optional<framework::MonotonicTime> NextDue() const;

  /// Returns the events up to and including `now`, oldest first.
  std::vector<GenerationEvent> AdvanceTo(framework::MonotonicTime now);

  /// Sets the factor by which later prefill times and token intervals are multiplied.
  void SetSlowFactor(double factor) { this->slow_factor = factor; }

  [[nodiscard]] int Running() const { return static_cast<int>(this->running.size()); }
  [[nodiscard]] int Waiting() const { return static_cast<int>(this->waiting.size()); }
  [[nodiscard]] PrefixCache& Cache() { return this->cache; }

 private:
  struct Generation {
    int tokens = 0;
    int next_token = 0;
    framework::MonotonicTime due;
  };

  void Admit(framework::MonotonicTime now);
  void Generate(std::uint64_t id, framework::MonotonicTime due);
  [[nodiscard]] std::chrono::nanoseconds Scaled(std::chrono::nanoseconds duration) const;

  BatchTiming timing;
  PrefixCache cache;
  double slow_factor = 1;
  std::deque<GenerationRequest> waiting;
  std::unordered_map<std::uint64_t, Generation> running;
  std::set<std::pair<framework::MonotonicTime, std::uint64_t>> due_times;
  std::vector<GenerationEvent> events;
};

}  // namespace lentilhead::standin
