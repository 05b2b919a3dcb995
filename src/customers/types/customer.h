#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace lentilhead::customers {

/// An organisation whose callers send requests with an API key.
struct Customer {
  std::string name;
  std::uint32_t key = 0;           ///< hash of the name; names the customer in messages
  std::optional<int> priority;     ///< goes before the priority of the route; 0 is the most urgent
  double requests_per_second = 0;  ///< quota over all nodes; 0 for none
  double burst = 0;                ///< requests beyond that at a time

  /// Whether the requests of the customer are limited.
  [[nodiscard]] bool HasQuota() const { return this->requests_per_second > 0; }
};

}  // namespace lentilhead::customers
