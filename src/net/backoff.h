#pragma once

#include <chrono>

#include "net/http_types.h"

namespace lentilhead::net {

/// Returns a random duration between half of the given one and all of it.
[[nodiscard]] std::chrono::milliseconds Jittered(std::chrono::milliseconds span);

/// Returns a random number of at least 0 and below the bound; 0 for a bound of 0.
[[nodiscard]] std::size_t RandomBelow(std::size_t bound);

/// Returns a random number of at least 0 and below 1.
[[nodiscard]] double RandomFraction();

/// Waits between the attempts of a call; the jittered delay doubles up to a limit.
class Backoff {
 public:
  /// @param deadline time by which the last attempt starts.
  /// @param first_delay delay before the first retry. @param max_delay longest delay.
  Backoff(asio::any_io_executor executor, SteadyTime deadline,
          std::chrono::milliseconds first_delay, std::chrono::milliseconds max_delay)
      : executor(std::move(executor)),
        deadline(deadline),
        delay(first_delay),
        max_delay(max_delay) {}

  /// Waits before the next attempt. @return false at once if it would start after the deadline.
  asio::awaitable<bool> Wait();

 private:
  asio::any_io_executor executor;
  SteadyTime deadline;
  std::chrono::milliseconds delay;
  std::chrono::milliseconds max_delay;
};

}  // namespace lentilhead::net
