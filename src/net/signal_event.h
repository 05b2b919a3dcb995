#pragma once

#include <list>

#include "net/http_types.h"

namespace lentilhead::net {

/// Wakes coroutines that wait for a change of state on the same event loop.
class SignalEvent {
 public:
  explicit SignalEvent(asio::any_io_executor executor) : executor(std::move(executor)) {}

  /// Wakes every coroutine that waits now.
  void Notify() {
    for (asio::steady_timer* timer : this->waiting) {
      timer->cancel();
    }
  }

  /// Waits for the next Notify() or until a time, whichever comes first.
  /// @param until monotonic time at which the wait ends by itself.
  asio::awaitable<void> WaitUntil(SteadyTime until) {
    asio::steady_timer timer(this->executor, until);
    const auto position = this->waiting.insert(this->waiting.end(), &timer);
    co_await timer.async_wait(kAwaitWithError);
    this->waiting.erase(position);
  }

 private:
  asio::any_io_executor executor;
  std::list<asio::steady_timer*> waiting;
};

}  // namespace lentilhead::net
