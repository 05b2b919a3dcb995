#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "net/http_types.h"

namespace lentilhead::admission {

/// Decides when refused callers of a service are to return: when there is likely capacity, and
/// spread over the time in which it can take them.
///
/// It learns how long the service stays full. While it is full, callers return after the expected
/// end. From there on each caller gets a time of its own, at a part of the rate at which this node
/// starts requests. Reads no clock and does no I/O.
class RetrySchedule {
 public:
  /// Records how full the service is. @param occupancy share of the slots that are in use.
  void Observe(double occupancy, net::SteadyTime now);

  /// Expected time until the service is no longer full; 0 if it is not full or nothing is known.
  [[nodiscard]] std::chrono::milliseconds ExpectedFullTime(net::SteadyTime now) const;

  /// Assigns the time at which the next refused caller is to return.
  /// @param customer key of a customer that is over its share; its callers return by its own share,
  ///   one after another. 0 for all other callers, which return after the full period.
  /// @param starts_per_second requests that this node can start for these callers.
  /// @param longest longest delay of use to the caller; a later one is brought forward to it.
  std::chrono::milliseconds NextDelay(std::uint32_t customer, double starts_per_second,
                                      std::chrono::milliseconds longest, net::SteadyTime now);

 private:
  void EndFullPeriod(net::SteadyTime end);

  std::deque<std::chrono::milliseconds> full_periods;  ///< of the last ones, newest at the back
  std::optional<net::SteadyTime> full_since;
  net::SteadyTime last_full;
  std::map<std::uint32_t, net::SteadyTime> next_return;  ///< by customer
};

}  // namespace lentilhead::admission
