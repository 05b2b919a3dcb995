#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lentilhead::customers {

/// Times on which a node and the counting nodes have to agree.
struct QuotaTimes {
  /// Time between two messages of a node about a customer near its quota. It grows with the fleet,
  /// so that a counting node gets at most about 150 such messages a second for each customer.
  [[nodiscard]] static std::chrono::milliseconds Heartbeat(std::size_t nodes) {
    return std::max(
        std::chrono::milliseconds(400),
        std::chrono::milliseconds(static_cast<std::int64_t>(6.7 * static_cast<double>(nodes))));
  }
  /// Time after the last message of a node at which its share is reserved, and at which a node that
  /// gets no answers begins to use this share.
  [[nodiscard]] static std::chrono::milliseconds Silence(std::size_t nodes) {
    return Heartbeat(nodes) * 5 / 2;
  }
  /// Time after the last message of a node until which its share is reserved.
  [[nodiscard]] static std::chrono::milliseconds ReservedUntil(std::size_t nodes) {
    return Silence(nodes) + std::chrono::milliseconds(5000);
  }
  /// Time for which a node sends such messages after the last request of the customer.
  static constexpr std::chrono::milliseconds kRecentDemand{6000};
};

}  // namespace lentilhead::customers
