#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace lentilhead::control::internal {

/// Row of the leader lease.
struct LeaseRow {
  std::string etag;  ///< Empty for a row not yet stored.
  std::string holder;
  std::string run;                        ///< Identifier of the holder's process run.
  std::uint64_t epoch = 0;                ///< Fencing token of the holder's orders.
  std::uint64_t renewal = 0;              ///< Increases with each write within an epoch.
  bool released = false;                  ///< The lease was released with no order in flight.
  std::chrono::milliseconds duration{0};  ///< Validity from the start of the write.
  std::chrono::milliseconds max_order_duration{0};  ///< Longest time in flight of an order.
};

}  // namespace lentilhead::control::internal
