#pragma once

#include <chrono>

namespace lentilhead::net {

/// Returns a random span between half of the given one and the whole of it.
[[nodiscard]] std::chrono::milliseconds Jittered(std::chrono::milliseconds span);

/// Returns a random number from 0 up to, but not including, the bound; 0 for a bound of 0.
[[nodiscard]] std::size_t RandomBelow(std::size_t bound);

}  // namespace lentilhead::net
