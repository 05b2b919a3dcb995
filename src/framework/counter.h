#pragma once

#include <atomic>
#include <cstdint>

namespace lentilhead::framework {

/// Count that only grows. Thread safe.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { this->count.fetch_add(amount, std::memory_order_relaxed); }
  [[nodiscard]] std::uint64_t Value() const { return this->count.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> count{0};
};

}  // namespace lentilhead::framework
