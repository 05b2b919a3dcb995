#pragma once

#include <chrono>

namespace lentilhead::framework {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

}  // namespace lentilhead::framework
