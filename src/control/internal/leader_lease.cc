#include "control/internal/leader_lease.h"

#include <utility>

namespace lentilhead::control::internal {

using framework::MonotonicTime;

LeaderLease::LeaderLease(std::string holder, std::string run, LeaseParameters parameters)
    : holder(std::move(holder)), run(std::move(run)), parameters(parameters) {}

LeaseEffect LeaderLease::OnTick(bool candidate, MonotonicTime now) {
  if (this->row && now >= this->valid_until) {
    this->row.reset();
    this->observed_row.reset();
  }
  if (this->request_in_flight || (this->next_request_at && now < *this->next_request_at)) {
    return {};
  }
  this->next_request_at = now + this->parameters.renewal;
  if (this->row && !this->outcome_unknown) {
    LeaseRow next = *this->row;
    next.renewal += 1;
    return this->Write(std::move(next), now);
  }
  if (!candidate && !this->outcome_unknown) {
    this->observed_row.reset();
    return {};
  }
  this->request_in_flight = true;
  return ReadLease{};
}

LeaseEffect LeaderLease::OnRead(const std::optional<LeaseRow>& stored, MonotonicTime now) {
  this->request_in_flight = false;
  const bool was_unknown = std::exchange(this->outcome_unknown, false);
  if (was_unknown && stored && stored->run == this->run && stored->epoch == this->pending.epoch &&
      stored->renewal == this->pending.renewal) {
    this->OnWritten(*stored, now);
    return {};
  }
  if (this->row) {
    if (!stored || stored->etag != this->row->etag) {
      this->row.reset();
      this->observed_row.reset();
    }
    return {};
  }
  if (!stored || stored->released) {
    return this->Take(stored, now);
  }
  if (!this->observed_row || this->observed_row->row.etag != stored->etag) {
    this->observed_row = ObservedRow{*stored, now};
    return {};
  }
  if (now - this->observed_row->unchanged_since < stored->duration) {
    return {};
  }
  return this->Take(stored, now);
}

void LeaderLease::OnReadFailed() { this->request_in_flight = false; }

LeaseEffect LeaderLease::Take(const std::optional<LeaseRow>& old, MonotonicTime now) {
  LeaseRow next;
  next.etag = old ? old->etag : "";
  next.epoch = old ? old->epoch + 1 : 1;
  next.holder = this->holder;
  next.run = this->run;
  next.duration = this->parameters.duration;
  next.max_order_duration = this->parameters.max_order_duration;
  this->predecessor_released = !old || old->released;
  return this->Write(std::move(next), now);
}

LeaseEffect LeaderLease::Write(LeaseRow next, MonotonicTime now) {
  this->request_in_flight = true;
  this->pending = next;
  this->write_started = now;
  return WriteLease{std::move(next)};
}

void LeaderLease::OnWritten(const LeaseRow& stored, MonotonicTime now) {
  this->request_in_flight = false;
  this->outcome_unknown = false;
  const bool taken = !this->row || this->row->epoch != stored.epoch;
  if (taken) {
    const auto longest = this->observed_row ? this->observed_row->row.max_order_duration
                                            : this->parameters.max_order_duration;
    this->orders_allowed_from = this->predecessor_released ? now : now + longest;
  }
  this->row = stored;
  this->valid_until = this->write_started + this->parameters.duration;
  this->observed_row.reset();
}

void LeaderLease::OnConflict() {
  this->request_in_flight = false;
  this->outcome_unknown = false;
  this->row.reset();
  this->observed_row.reset();
}

void LeaderLease::OnWriteFailed() {
  this->request_in_flight = false;
  this->outcome_unknown = true;
}

LeaseEffect LeaderLease::Release() {
  if (!this->row || this->request_in_flight || this->outcome_unknown) {
    return {};
  }
  LeaseRow last = *this->row;
  last.released = true;
  last.renewal += 1;
  this->row.reset();
  this->request_in_flight = true;
  return WriteLease{std::move(last)};
}

bool LeaderLease::MaySendOrders(MonotonicTime now) const {
  return this->row && now >= this->orders_allowed_from &&
         now + this->parameters.margin < this->valid_until;
}

bool LeaderLease::IsHeld(MonotonicTime now) const { return this->row && now < this->valid_until; }

}  // namespace lentilhead::control::internal
