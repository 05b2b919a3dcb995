#include "batch/internal/lease_keeper.h"

#include <algorithm>

#include "batch/internal/job_keys.h"
#include "framework/log_event.h"

namespace lentilhead::batch::internal {

namespace {

using datastore::TableErrorKind;

constexpr int kWriteTimeoutsPerLifetime = 3;

LeaseRow ToLease(const datastore::TableRow& row) {
  LeaseRow lease{"", 0, row.etag};
  if (row.value.is_object()) {
    lease.holder = row.value.value("holder", std::string());
    lease.sequence = row.value.value("sequence", std::uint64_t{0});
  }
  return lease;
}

}  // namespace

LeaseKeeper::LeaseKeeper(BatchParts& parts) : parts(parts) {
  for (int shard = 0; shard < parts.settings.shards; ++shard) {
    this->leases.emplace_back(parts.run, parts.settings.lease_lifetime, parts.settings.scan_period);
  }
}

void LeaseKeeper::OnView(const fleet::FleetView& view) {
  if (this->draining) {
    return;
  }
  for (int shard = 0; shard < this->ShardCount(); ++shard) {
    const bool wanted = view.BatchOwnerOf("batch-" + LeaseKey(shard)) == this->parts.instance;
    this->leases[shard].SetWanted(wanted);
  }
}

void LeaseKeeper::Drain() {
  this->draining = true;
  for (ShardLease& lease : this->leases) {
    lease.SetWanted(false);
  }
}

void LeaseKeeper::OnTick() {
  const framework::MonotonicTime now = this->parts.timers.Now();
  for (int shard = 0; shard < this->ShardCount(); ++shard) {
    const LeaseAction action = this->leases[shard].Next(now);
    if (std::holds_alternative<ReadLease>(action)) {
      this->Read(shard);
    } else if (const auto* write = std::get_if<WriteLease>(&action)) {
      this->Write(shard, write->row);
    }
  }
}

void LeaseKeeper::Read(int shard) {
  this->parts.table.Get(kLeasePartition, LeaseKey(shard), [this, shard](auto reply) {
    const framework::MonotonicTime now = this->parts.timers.Now();
    if (reply) {
      this->leases[shard].OnRead(now, ToLease(reply.Value()));
    } else if (reply.Error().kind == TableErrorKind::kNotFound) {
      this->leases[shard].OnRead(now, std::nullopt);
    } else {
      this->leases[shard].OnUnavailable(now);
    }
  });
}

void LeaseKeeper::Write(int shard, const LeaseRow& row) {
  datastore::TableRow stored{kLeasePartition,
                             LeaseKey(shard),
                             row.etag,
                             {{"holder", row.holder}, {"sequence", row.sequence}}};
  const auto timeout = this->parts.settings.lease_lifetime / kWriteTimeoutsPerLifetime;
  const auto on_end = [this, shard, row](auto reply) {
    const framework::MonotonicTime now = this->parts.timers.Now();
    ShardLease& lease = this->leases[shard];
    if (reply) {
      LeaseRow written = row;
      written.etag = reply.Value().etag;
      lease.OnWritten(now, written);
      return;
    }
    this->parts.metrics
        .GetCounter("batch_lease_failures_total", {{"reason", NameOf(reply.Error().kind)}})
        .Add();
    if (reply.Error().kind == TableErrorKind::kConflict) {
      lease.OnConflict();
    } else {
      lease.OnUnavailable(now);
    }
  };
  this->parts.writer.Write(std::move(stored), datastore::WritePriority::kLease, timeout, on_end);
}

bool LeaseKeeper::IsHeld(int shard) const {
  return this->leases[shard].IsHeld(this->parts.timers.Now());
}

bool LeaseKeeper::IsHeldThroughOutage(int shard) const {
  return this->leases[shard].IsHeldThroughOutage(this->parts.timers.Now());
}

bool LeaseKeeper::MustRelease(int shard) const { return this->leases[shard].MustRelease(); }

void LeaseKeeper::AllowRelease(int shard) { this->leases[shard].AllowRelease(); }

bool LeaseKeeper::IsIdle() const {
  return std::none_of(this->leases.begin(), this->leases.end(),
                      [](const ShardLease& lease) { return lease.MustRelease(); });
}

}  // namespace lentilhead::batch::internal
