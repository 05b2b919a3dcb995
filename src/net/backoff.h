#pragma once

#include <chrono>

#include "net/http_types.h"

namespace lentilhead::net {

/// Returns a random span between half of the given one and the whole of it.
[[nodiscard]] std::chrono::milliseconds Jittered(std::chrono::milliseconds span);

/// Returns a random number from 0 up to, but not including, the bound; 0 for a bound of 0.
[[nodiscard]] std::size_t RandomBelow(std::size_t bound);

/// Returns a random number from 0 up to, but not including, 1.
[[nodiscard]] double RandomFraction();

/// Pauses between the tries of one call: each twice the one before, with jitter, until a deadline.
class Backoff {
 public:
  /// @param deadline time by which the last try begins.
  /// @param first_delay first_delay delay. @param max_delay bound of the pauses.
  Backoff(asio::any_io_executor executor, SteadyTime deadline,
          std::chrono::milliseconds first_delay, std::chrono::milliseconds max_delay)
      : executor(std::move(executor)),
        deadline(deadline),
        delay(first_delay),
        max_delay(max_delay) {}

  /// Waits for the next try. @return false at once when it would begin too late.
  asio::awaitable<bool> Wait();

 private:
  asio::any_io_executor executor;
  SteadyTime deadline;
  std::chrono::milliseconds delay;
  std::chrono::milliseconds max_delay;
};

}  // namespace lentilhead::net
