#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "control/internal/lease_row.h"
#include "framework/types/time_types.h"

namespace lentilhead::control::internal {

/// Durations of the leader lease.
struct LeaseParameters {
  std::chrono::milliseconds duration{6'000};
  std::chrono::milliseconds renewal{1'500};
  /// The holder stops sending orders this long before its lease expires.
  std::chrono::milliseconds margin{1'000};
  std::chrono::milliseconds max_order_duration{2'000};  ///< Longest time in flight of an order.
};

/// Asks for a read of the lease row.
struct ReadLease {};

/// Asks for a write of the lease row, on condition that the stored etag is still that of `row`.
struct WriteLease {
  LeaseRow row;
};

using LeaseEffect = std::variant<std::monostate, ReadLease, WriteLease>;

/// State machine of one controller's leader lease, which is stored in one row of the table.
///
/// The holder renews the row. It may send orders until its lease, which runs from the start of its
/// last successful write, is about to expire (less a margin). Another controller takes the lease
/// once the row has stayed unchanged for the whole lease duration on that controller's own
/// monotonic clock. Unless the lease was released, the new holder then waits for the longest time
/// that an order can be in flight before it sends its first one. Clocks of different machines are
/// never compared.
class LeaderLease {
 public:
  /// @param holder name of this instance. @param run identifier of this process run.
  LeaderLease(std::string holder, std::string run, LeaseParameters parameters);

  /// Handles a timer tick. @param candidate true if this instance may take the lease.
  LeaseEffect OnTick(bool candidate, framework::MonotonicTime now);

  /// Handles the answer to ReadLease. @param row no value if no row is stored yet.
  LeaseEffect OnRead(const std::optional<LeaseRow>& row, framework::MonotonicTime now);
  void OnReadFailed();

  /// Handles the answer to WriteLease.
  void OnWritten(const LeaseRow& row, framework::MonotonicTime now);
  void OnConflict();
  void OnWriteFailed();

  /// Releases the lease; no order may be in flight.
  /// @return the write that releases the row; none if the lease is not held, or while a read or
  /// write of the row is in flight or its outcome is unknown.
  LeaseEffect Release();

  /// True if this instance may send an order now.
  [[nodiscard]] bool MaySendOrders(framework::MonotonicTime now) const;

  /// True if this instance holds the lease, even if it may not send orders yet or any more.
  [[nodiscard]] bool IsHeld(framework::MonotonicTime now) const;

  /// Fencing token of this instance's orders; 0 without the lease.
  [[nodiscard]] std::uint64_t Epoch() const { return this->row ? this->row->epoch : 0; }

 private:
  /// Stored row as last read, while this instance does not hold the lease.
  struct ObservedRow {
    LeaseRow row;
    framework::MonotonicTime unchanged_since;  ///< First read that returned this row.
  };

  LeaseEffect Write(LeaseRow next, framework::MonotonicTime now);
  LeaseEffect Take(const std::optional<LeaseRow>& old, framework::MonotonicTime now);

  std::string holder;
  std::string run;
  LeaseParameters parameters;
  std::optional<LeaseRow> row;  ///< Last row written by this instance, while it holds the lease.
  framework::MonotonicTime valid_until;
  framework::MonotonicTime orders_allowed_from;
  std::optional<ObservedRow> observed_row;
  bool request_in_flight = false;  ///< A read or write of the row.
  bool outcome_unknown = false;    ///< The outcome of the last write is unknown.
  LeaseRow pending;                ///< Row of the last write.
  framework::MonotonicTime write_started;
  bool predecessor_released = false;  ///< No orders of an earlier holder can be in flight.
  std::optional<framework::MonotonicTime> next_request_at;
};

}  // namespace lentilhead::control::internal
