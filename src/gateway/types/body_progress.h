#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace lentilhead::gateway {

/// How far the body of an answer has been received.
struct BodyProgress {
  std::uint64_t received = 0;             ///< bytes
  std::optional<std::uint64_t> left;      ///< bytes; empty if the answer states no length
  std::chrono::milliseconds duration{0};  ///< since the head of the answer
};

}  // namespace lentilhead::gateway
