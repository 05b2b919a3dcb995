#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "net/http_types.h"

namespace lentilhead::customers {

/// Counts what happened in the last 5 s, rounded up to whole seconds. Reads no clock.
class RecentCount {
 public:
  void Add(int number, net::SteadyTime now) {
    this->Advance(now);
    this->counts[static_cast<std::size_t>(this->second) % kSeconds] += number;
  }

  [[nodiscard]] int Sum(net::SteadyTime now) {
    this->Advance(now);
    int sum = 0;
    for (const int count : this->counts) {
      sum += count;
    }
    return sum;
  }

 private:
  static constexpr std::int64_t kSeconds = 6;  // 5 s, and the second that is not over

  void Advance(net::SteadyTime now) {
    const std::int64_t next =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    for (std::int64_t each = std::max(this->second + 1, next - kSeconds + 1); each <= next;
         ++each) {
      this->counts[static_cast<std::size_t>(each) % kSeconds] = 0;
    }
    this->second = std::max(this->second, next);
  }

  std::array<int, kSeconds> counts{};
  std::int64_t second = 0;
};

}  // namespace lentilhead::customers
