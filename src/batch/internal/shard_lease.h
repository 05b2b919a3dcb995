#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "framework/types/time_types.h"

namespace lentilhead::batch::internal {

/// Row of a shard's lease as stored.
struct LeaseRow {
  std::string holder;  ///< `instance/run` of the holder; empty if the lease was released.
  std::uint64_t sequence = 0;
  std::string etag;
};

/// What a lease wants its task to do next.
struct ReadLease {};
struct WriteLease {
  LeaseRow row;  ///< The etag is that of the row to replace; empty inserts.
};
using LeaseAction = std::variant<std::monostate, ReadLease, WriteLease>;

/// Lease of one shard as one process sees it. Decides from the times that it is given.
///
/// A holder trusts its lease from the start of its last successful write for one lifetime. Others
/// claim it when it was released, or when its row has not changed for one lifetime since they first
/// saw it. The lease only keeps owners from working twice; what is committed is made safe by the
/// epochs of the job rows.
class ShardLease {
 public:
  /// @param self `instance/run` of this process.
  ShardLease(std::string own_holder, std::chrono::milliseconds lifetime,
             std::chrono::milliseconds read_period);

  /// Tells whether this process should hold the shard.
  void SetWanted(bool is_wanted);

  /// Returns the next action; its end must be reported before another is returned.
  LeaseAction Next(framework::MonotonicTime now);

  void OnRead(framework::MonotonicTime now, std::optional<LeaseRow> row);

  /// @param row the row as written, with its new etag.
  void OnWritten(framework::MonotonicTime now, const LeaseRow& row);

  /// The write lost against another, or the row could not be read.
  void OnConflict();

  /// The service was not available or the outcome stayed unknown.
  void OnUnavailable(framework::MonotonicTime now);

  /// True while this process may rely on the lease.
  [[nodiscard]] bool IsHeld(framework::MonotonicTime now) const;

  /// True while the own row is the last one known and renewals fail only because the service is
  /// down, so that nobody else can have claimed it.
  [[nodiscard]] bool IsHeldThroughOutage(framework::MonotonicTime now) const;

  /// True if the lease is still this process's to hand back.
  [[nodiscard]] bool MustRelease() const { return !this->wanted && this->owned; }

  /// Allows the release of an unwanted lease, once its jobs have been handed back.
  void AllowRelease() { this->release_allowed = true; }

 private:
  [[nodiscard]] bool MayClaim(framework::MonotonicTime now) const;
  LeaseAction Write(framework::MonotonicTime now, std::string holder);
  LeaseAction NextOwned(framework::MonotonicTime now);

  std::string own_holder;
  std::chrono::milliseconds lifetime;
  std::chrono::milliseconds read_period;
  bool wanted = false;
  bool owned = false;
  bool action_in_flight = false;
  bool release_allowed = false;
  std::optional<LeaseRow> last_row;
  bool has_read = false;
  framework::MonotonicTime unchanged_since;
  framework::MonotonicTime last_read;
  framework::MonotonicTime write_started;
  framework::MonotonicTime last_renewed;
  std::optional<framework::MonotonicTime> last_unavailable;
};

}  // namespace lentilhead::batch::internal
