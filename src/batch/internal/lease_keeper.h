#pragma once

#include <functional>
#include <vector>

#include "batch/internal/batch_parts.h"
#include "batch/internal/shard_lease.h"
#include "fleet/types/fleet_view.h"

namespace lentilhead::batch::internal {

/// Claims, renews and releases the leases of the shards assigned to this process.
class LeaseKeeper {
 public:
  explicit LeaseKeeper(BatchParts& parts);

  /// Selects the shards whose rendezvous owner in the view is this instance; only their leases are
  /// wanted.
  void OnView(const fleet::FleetView& view);

  /// Marks all leases as no longer wanted, so that they can be released.
  void Drain();

  /// Starts the reads, claims and renewals that are due. Called every tick.
  void OnTick();

  /// Returns true while this process may rely on the lease of the shard. @see ShardLease
  [[nodiscard]] bool IsHeld(int shard) const;
  [[nodiscard]] bool IsHeldThroughOutage(int shard) const;

  /// Returns true if the lease is held but no longer wanted; its jobs must be handed over.
  [[nodiscard]] bool MustRelease(int shard) const;
  void AllowRelease(int shard);

  [[nodiscard]] int ShardCount() const { return static_cast<int>(this->leases.size()); }

  /// Returns true if no lease is left to release.
  [[nodiscard]] bool IsIdle() const;

 private:
  void Read(int shard);
  void Write(int shard, const LeaseRow& row);

  BatchParts& parts;
  std::vector<ShardLease> leases;
  bool draining = false;
};

}  // namespace lentilhead::batch::internal
