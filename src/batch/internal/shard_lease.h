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

/// Actions that a ShardLease requests; std::monostate stands for none.
struct ReadLease {};
struct WriteLease {
  LeaseRow row;  ///< Its etag is that of the row to replace; an empty etag inserts the row.
};
using LeaseAction = std::variant<std::monostate, ReadLease, WriteLease>;

/// State of one shard's lease as one process sees it. It requests reads and writes, but performs
/// none, and uses only the times passed to it.
///
/// A holder may rely on its lease for one lifetime from the start of its last successful write.
/// Other processes claim the lease when it was released, or when they have read the same row for
/// one lifetime. The lease only prevents owners from doing the same work twice. Commits are
/// protected by the epochs of the job rows.
class ShardLease {
 public:
  /// @param own_holder `instance/run` of this process.
  ShardLease(std::string own_holder, std::chrono::milliseconds lifetime,
             std::chrono::milliseconds read_period);

  /// Sets whether this process should hold the lease.
  void SetWanted(bool is_wanted);

  /// Returns the next action. The next one is returned only after the outcome of this one was
  /// reported.
  LeaseAction Next(framework::MonotonicTime now);

  void OnRead(framework::MonotonicTime now, std::optional<LeaseRow> row);

  /// @param row the row as written, with its new etag.
  void OnWritten(framework::MonotonicTime now, const LeaseRow& row);

  /// Reports that another write changed the row first.
  void OnConflict();

  /// Reports that the table was unavailable or that the outcome of the write is unknown.
  void OnUnavailable(framework::MonotonicTime now);

  /// Returns true while this process may rely on the lease.
  [[nodiscard]] bool IsHeld(framework::MonotonicTime now) const;

  /// Like IsHeld(), but also true while the last known row is this process's own and a write of it
  /// failed as unavailable or with an unknown outcome within the last lifetime. Assumes that the
  /// table is unavailable to the other processes too, so that none has claimed the lease.
  [[nodiscard]] bool IsHeldThroughOutage(framework::MonotonicTime now) const;

  /// Returns true if this process still holds the lease but no longer wants it.
  [[nodiscard]] bool MustRelease() const { return !this->wanted && this->owned; }

  /// Allows the release of an unwanted lease, after its jobs have been handed over.
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
