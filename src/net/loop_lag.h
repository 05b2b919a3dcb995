#pragma once

#include <algorithm>
#include <chrono>

namespace lentilhead::net {

/// How late timers of the event loop fire: the longest recent delay, which fades with each timer
/// that fires in time.
class LoopLag {
 public:
  /// @param late time between the expiry of a timer and its handler.
  void Record(std::chrono::nanoseconds late) {
    this->longest = std::max<Span>(late, kFade * this->longest);
  }

  [[nodiscard]] std::chrono::milliseconds Longest() const {
    return std::chrono::ceil<std::chrono::milliseconds>(this->longest);
  }

 private:
  using Span = std::chrono::duration<double, std::nano>;

  static constexpr double kFade = 0.99;

  Span longest{0};
};

}  // namespace lentilhead::net
