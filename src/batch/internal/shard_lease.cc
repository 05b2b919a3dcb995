#include "batch/internal/shard_lease.h"

#include <utility>

namespace lentilhead::batch::internal {

namespace {

constexpr int kRenewalsPerLifetime = 3;

std::string InstanceOf(const std::string& holder) { return holder.substr(0, holder.find('/')); }

}  // namespace

ShardLease::ShardLease(std::string own_holder, std::chrono::milliseconds lifetime,
                       std::chrono::milliseconds read_period)
    : own_holder(std::move(own_holder)), lifetime(lifetime), read_period(read_period) {}

void ShardLease::SetWanted(bool is_wanted) {
  if (is_wanted == this->wanted) {
    return;
  }
  this->wanted = is_wanted;
  this->release_allowed = false;
}

LeaseAction ShardLease::Next(framework::MonotonicTime now) {
  if (this->action_in_flight) {
    return {};
  }
  if (this->owned) {
    return this->NextOwned(now);
  }
  if (!this->wanted) {
    return {};
  }
  if (this->has_read && this->MayClaim(now)) {
    return this->Write(now, this->own_holder);
  }
  if (this->has_read && now < this->last_read + this->read_period) {
    return {};
  }
  this->action_in_flight = true;
  return ReadLease{};
}

LeaseAction ShardLease::NextOwned(framework::MonotonicTime now) {
  if (!this->wanted && this->release_allowed) {
    return this->Write(now, "");
  }
  if (now < this->write_started + this->lifetime / kRenewalsPerLifetime) {
    return {};
  }
  return this->Write(now, this->own_holder);
}

LeaseAction ShardLease::Write(framework::MonotonicTime now, std::string holder) {
  this->action_in_flight = true;
  this->write_started = now;
  LeaseRow row{std::move(holder), 1, ""};
  if (this->last_row) {
    row.sequence = this->last_row->sequence + 1;
    row.etag = this->last_row->etag;
  }
  return WriteLease{std::move(row)};
}

bool ShardLease::MayClaim(framework::MonotonicTime now) const {
  if (!this->last_row || this->last_row->holder.empty()) {
    return true;
  }
  // The holder is an earlier run of this instance, which has ended.
  if (InstanceOf(this->last_row->holder) == InstanceOf(this->own_holder)) {
    return true;
  }
  return now >= this->unchanged_since + this->lifetime;
}

void ShardLease::OnRead(framework::MonotonicTime now, std::optional<LeaseRow> row) {
  this->action_in_flight = false;
  this->last_read = now;
  const bool unchanged = this->has_read && this->last_row.has_value() == row.has_value() &&
                         (!row || this->last_row->etag == row->etag);
  if (!unchanged) {
    this->unchanged_since = now;
  }
  this->has_read = true;
  this->last_row = std::move(row);
}

void ShardLease::OnWritten(framework::MonotonicTime now, const LeaseRow& row) {
  this->action_in_flight = false;
  this->last_row = row;
  this->owned = row.holder == this->own_holder;
  this->last_renewed = this->write_started;
  this->last_unavailable.reset();
  this->unchanged_since = now;
  this->last_read = now;
  this->release_allowed = false;
}

void ShardLease::OnConflict() {
  this->action_in_flight = false;
  this->owned = false;
  this->has_read = false;
  this->last_row.reset();
}

void ShardLease::OnUnavailable(framework::MonotonicTime now) {
  this->action_in_flight = false;
  this->last_unavailable = now;
  this->last_read = now;
}

bool ShardLease::IsHeld(framework::MonotonicTime now) const {
  return this->owned && now < this->last_renewed + this->lifetime;
}

bool ShardLease::IsHeldThroughOutage(framework::MonotonicTime now) const {
  if (this->IsHeld(now)) {
    return true;
  }
  return this->owned && this->last_unavailable && now < *this->last_unavailable + this->lifetime;
}

}  // namespace lentilhead::batch::internal
