#pragma once

#include <chrono>
#include <optional>

namespace lentilhead::gateway {

/// How long a request may keep a node busy.
struct RequestSpan {
  std::chrono::milliseconds longest;  ///< it is answered or given up by then
  /// Usual time of such requests; empty if unknown.
  std::optional<std::chrono::milliseconds> usual;
};

}  // namespace lentilhead::gateway
