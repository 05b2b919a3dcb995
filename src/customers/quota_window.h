#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "customers/types/quota.h"
#include "net/http_types.h"

namespace lentilhead::customers {

/// Count of a customer's requests over a sliding window of 5 s. Reads no clock.
///
/// A request may go while the requests of the last 5 s stay within Quota::WindowLimit(). In
/// addition, the requests of each shorter time up to now stay so far below the limit that a
/// counting node that starts at this moment, and knows none of them, may admit Quota::YoungRate()
/// until the window has passed.
class QuotaWindow {
 public:
  /// Length of the window.
  static constexpr std::chrono::milliseconds kSpan{5000};

  QuotaWindow(Quota quota, net::SteadyTime now);

  /// Limits what is admitted for a while, because requests of the time before are not known.
  /// @param first requests that may go at once all the same.
  void BeginYoung(std::chrono::milliseconds time, double first);

  /// Whether requests of the last 5 s may be unknown.
  [[nodiscard]] bool IsYoung() const { return this->now < this->young_until; }

  /// Changes the quota; the requests of the last 5 s stay counted.
  void SetQuota(Quota changed, net::SteadyTime at);

  [[nodiscard]] const Quota& Current() const { return this->quota; }

  /// Moves the window on.
  /// @param share of the rate that this window gets; the rest counts as used by silent nodes.
  void Advance(net::SteadyTime at, double share = 1);

  /// Takes up to `wanted` requests, as far as there is room. @return number of requests taken.
  int Take(int wanted);

  /// As Take(), for requests that may have been sent any time in the last seconds: uses only room
  /// that there has been for all that time.
  int TakeLate(int wanted);

  /// Counts requests that were admitted already, or removes them if the number is negative.
  void Charge(double requests);

  /// Counts requests of the last 5 s that were not known before.
  void ChargePast(double requests);

  /// Requests that may go now; negative if too many were admitted.
  [[nodiscard]] double Room() const;

  /// Time until there is room for so many requests; 0 if there is.
  [[nodiscard]] std::chrono::milliseconds UntilRoom(double requests) const;

 private:
  static constexpr std::chrono::milliseconds kSlot{50};
  /// The current slot may have begun just now, so one more is kept than the span has.
  static constexpr std::size_t kSlots = kSpan / kSlot + 1;

  /// Requests that were counted `age` slots ago.
  [[nodiscard]] double& At(std::size_t age);
  [[nodiscard]] double At(std::size_t age) const;
  /// Room that there will be after so many slots, if nothing is admitted meanwhile.
  [[nodiscard]] double RoomAfter(std::size_t slots) const;
  void Count(double requests);
  void NoteLow();

  Quota quota;
  net::SteadyTime now;
  net::SteadyTime slot_begin;
  std::array<double, kSlots> slots{};  ///< requests by slot, in a ring
  std::size_t current = 0;
  double room;            ///< by the slots
  double young_room = 0;  ///< in the span after the start
  net::SteadyTime young_until;
  double low;           ///< least room of the current period
  double previous_low;  ///< least room of the period before
  net::SteadyTime low_since;
};

}  // namespace lentilhead::customers
