#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "control/internal/lease_row.h"
#include "framework/types/time_types.h"

namespace lentilhead::control::internal {

/// Times of the leader lease.
struct LeaseParameters {
  std::chrono::milliseconds duration{6'000};
  std::chrono::milliseconds renewal{1'500};
  std::chrono::milliseconds margin{1'000};
  std::chrono::milliseconds max_order_duration{2'000};
};

/// Reads the row of the lease.
struct ReadLease {};

/// Writes the row of the lease if its etag is still the stored one.
struct WriteLease {
  LeaseRow row;
};

using LeaseEffect = std::variant<std::monostate, ReadLease, WriteLease>;

/// Leader lease of one controller in one row of the table.
///
/// The holder renews the row and may order while its last write is younger than the lease, less a
/// margin. Another controller takes the lease after it has seen the row unchanged for the
/// whole lease by its own monotonic clock, and then waits for the longest order before its first
/// one. Clocks of different machines are never compared.
class LeaderLease {
 public:
  /// @param holder name of this instance. @param run identifier of this process run.
  LeaderLease(std::string holder, std::string run, LeaseParameters parameters);

  /// Runs one tick. @param candidate true if this instance may take the lease.
  LeaseEffect OnTick(bool candidate, framework::MonotonicTime now);

  /// Handles the answer to ReadLease; no row if there is none yet.
  LeaseEffect OnRead(const std::optional<LeaseRow>& row, framework::MonotonicTime now);
  void OnReadFailed();

  /// Handles the answer to WriteLease.
  void OnWritten(const LeaseRow& row, framework::MonotonicTime now);
  void OnConflict();
  void OnWriteFailed();

  /// Gives the lease back; no order may be under way. @return write that releases the row.
  LeaseEffect Release();

  /// True if an order may be sent now.
  [[nodiscard]] bool MaySendOrders(framework::MonotonicTime now) const;

  /// True if this instance holds the lease, though it may have to wait before it orders.
  [[nodiscard]] bool IsHeld(framework::MonotonicTime now) const;

  /// Fencing token of this instance's orders.
  [[nodiscard]] std::uint64_t Epoch() const { return this->row ? this->row->epoch : 0; }

 private:
  struct ObservedRow {
    LeaseRow row;
    framework::MonotonicTime unchanged_since;
  };

  LeaseEffect Write(LeaseRow next, framework::MonotonicTime now);
  LeaseEffect Take(const std::optional<LeaseRow>& old, framework::MonotonicTime now);

  std::string holder;
  std::string run;
  LeaseParameters parameters;
  std::optional<LeaseRow> row;  ///< Own row while the lease is held.
  framework::MonotonicTime valid_until;
  framework::MonotonicTime orders_allowed_from;
  std::optional<ObservedRow> observed_row;
  bool request_in_flight = false;
  bool outcome_unknown = false;  ///< The outcome of the last write is unknown.
  LeaseRow pending;
  framework::MonotonicTime write_started;
  bool predecessor_released = false;
  std::optional<framework::MonotonicTime> next_request_at;
};

}  // namespace lentilhead::control::internal
