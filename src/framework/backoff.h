#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace lentilhead::framework {

/// Exponential backoff with full jitter, from a seeded generator.
class Backoff {
 public:
  /// @param first upper bound of the first delay. @param longest upper bound of any delay.
  Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest, std::uint64_t seed);

  /// Returns the next delay and doubles the bound.
  [[nodiscard]] std::chrono::milliseconds Next();

  /// Returns to the first bound after a success.
  void Reset();

 private:
  std::chrono::milliseconds first;
  std::chrono::milliseconds longest;
  std::chrono::milliseconds bound;
  std::mt19937_64 random;
};

}  // namespace lentilhead::framework
