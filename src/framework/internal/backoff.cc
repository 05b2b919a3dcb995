#include "framework/backoff.h"

#include <algorithm>

namespace lentilhead::framework {

Backoff::Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest,
                 std::uint64_t seed)
    : first(first), longest(longest), bound(first), random(seed) {}

std::chrono::milliseconds Backoff::Next() {
  std::uniform_int_distribution<std::int64_t> pick(this->first.count() / 2, this->bound.count());
  const std::chrono::milliseconds delay(pick(this->random));
  this->bound = std::min(this->bound * 2, this->longest);
  return delay;
}

void Backoff::Reset() { this->bound = this->first; }

}  // namespace lentilhead::framework
