#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "framework/types/time_types.h"

namespace lentilhead::online {

/// Event queue of a simulation, ordered by time, with its seeded random number generator.
class EventQueue {
 public:
  explicit EventQueue(std::uint64_t seed) : random(seed) {}

  void After(std::chrono::milliseconds delay, std::function<void()> event) {
    this->events.emplace(std::pair(this->now + delay, this->next++), std::move(event));
  }

  /// Runs the next event. @return false if there is none.
  bool RunNext() {
    if (this->events.empty()) {
      return false;
    }
    auto first = this->events.extract(this->events.begin());
    this->now = first.key().first;
    first.mapped()();
    return true;
  }

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
  }

  int RandomBelow(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(this->random);
  }

  std::chrono::milliseconds RandomDelayUpTo(int milliseconds) {
    return std::chrono::milliseconds(this->RandomBelow(milliseconds) + 1);
  }

  framework::MonotonicTime now{};

 private:
  std::mt19937_64 random;
  std::map<std::pair<framework::MonotonicTime, std::uint64_t>, std::function<void()>> events;
  std::uint64_t next = 0;
};

}  // namespace lentilhead::online
