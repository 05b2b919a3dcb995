#include "net/backoff.h"

#include <algorithm>
#include <random>

namespace lentilhead::net {

namespace {

std::minstd_rand& Generator() {
  static std::minstd_rand generator{std::random_device{}()};
  return generator;
}

}  // namespace

std::size_t RandomBelow(std::size_t bound) {
  return bound == 0 ? 0 : std::uniform_int_distribution<std::size_t>(0, bound - 1)(Generator());
}

double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(Generator()); }

asio::awaitable<bool> Backoff::Wait() {
  if (Now() + this->delay >= this->deadline) {
    co_return false;
  }
  asio::steady_timer timer(this->executor, Jittered(this->delay));
  co_await timer.async_wait(kAwaitWithError);
  this->delay = std::min(this->delay * 2, this->max_delay);
  co_return true;
}

std::chrono::milliseconds Jittered(std::chrono::milliseconds span) {
  const auto half = static_cast<std::size_t>(span.count() / 2);
  return span - std::chrono::milliseconds(RandomBelow(half + 1));
}

}  // namespace lentilhead::net
