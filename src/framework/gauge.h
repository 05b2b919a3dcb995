#pragma once

#include <atomic>
#include <cstdint>

namespace lentilhead::framework {

/// Level that rises and falls. Thread safe.
class Gauge {
 public:
  void Set(std::int64_t new_level) { this->level.store(new_level, std::memory_order_relaxed); }
  void Add(std::int64_t change) { this->level.fetch_add(change, std::memory_order_relaxed); }
  [[nodiscard]] std::int64_t Value() const { return this->level.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> level{0};
};

}  // namespace lentilhead::framework
