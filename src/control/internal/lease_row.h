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
  std::uint64_t renewal = 0;              ///< Grows with each write of an epoch.
  bool released = false;                  ///< The holder has ended all its orders and left.
  std::chrono::milliseconds duration{0};  ///< Validity after the start of the write.
  std::chrono::milliseconds max_order_duration{0};  ///< Time that an order can be under way.
};

}  // namespace lentilhead::control::internal
