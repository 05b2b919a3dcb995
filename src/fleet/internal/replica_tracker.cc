#include "fleet/internal/replica_tracker.h"

#include <algorithm>

namespace lentilhead::fleet::internal {

namespace {

using framework::MonotonicTime;
using std::chrono::milliseconds;

constexpr std::size_t kMaxHolders = 8;

std::optional<MonotonicTime> Later(const std::optional<MonotonicTime>& left,
                                   const std::optional<MonotonicTime>& right) {
  if (!left || !right) {
    return left ? left : right;
  }
  return std::max(*left, *right);
}

milliseconds AgeOf(MonotonicTime time, MonotonicTime now) {
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(now - time));
}

}  // namespace

ReplicaTracker::ReplicaTracker(ReplicaParameters parameters, std::uint64_t seed)
    : parameters(parameters), random(seed) {}

ReplicaEffects ReplicaTracker::OnTick(bool polls, MonotonicTime now) {
  const bool store_is_silent = !this->latest_observation ||
                               now - this->latest_observation->at >= this->parameters.fallback_age;
  if (!polls && !store_is_silent) {
    this->next_store_read_at.reset();
    return {};
  }
  if (this->store_read_in_flight || (this->next_store_read_at && now < *this->next_store_read_at)) {
    return {};
  }
  if (!polls && !this->next_store_read_at) {
    // A random delay spreads the first reads of instances that stop receiving observations of the
    // store at the same time.
    const auto spread =
        this->random() % static_cast<std::uint64_t>(this->parameters.fallback_period.count());
    this->next_store_read_at = now + milliseconds(spread);
    return {};
  }
  this->store_read_in_flight = true;
  this->store_read_started_at = now;
  this->next_store_read_at =
      now + (polls ? this->parameters.poll_period : this->parameters.fallback_period);
  return {ReadStore{}};
}

ReplicaEffects ReplicaTracker::OnPeerRevision(const std::string& address,
                                              const ReplicaRevision& reported,
                                              MonotonicTime sent_after) {
  if (reported.store_age) {
    this->Observe(reported.revision, sent_after - *reported.store_age);
  }
  if (reported.revision == this->held_revision && this->held_revision > 0) {
    this->peer_confirmed_at = Later(this->peer_confirmed_at, sent_after);
  }
  if (reported.revision <= this->held_revision || reported.revision < this->wanted_revision) {
    return {};
  }
  if (reported.revision > this->wanted_revision) {
    this->wanted_revision = reported.revision;
    this->holders.clear();
    this->store_has_wanted_revision = false;
  }
  const bool known =
      std::find(this->holders.begin(), this->holders.end(), address) != this->holders.end();
  if (!known && this->holders.size() < kMaxHolders) {
    this->holders.push_back(address);
  }
  return this->StartFetch();
}

ReplicaEffects ReplicaTracker::OnStoreRevision(std::uint64_t revision) {
  this->store_read_in_flight = false;
  this->Observe(revision, this->store_read_started_at);
  if (revision <= this->held_revision || revision < this->wanted_revision) {
    return {};
  }
  if (revision > this->wanted_revision) {
    this->wanted_revision = revision;
    this->holders.clear();
  }
  this->store_has_wanted_revision = true;
  return this->StartFetch();
}

void ReplicaTracker::OnStoreFailed() { this->store_read_in_flight = false; }

void ReplicaTracker::OnDocumentReceived(std::uint64_t revision, MonotonicTime now) {
  if (revision <= this->held_revision) {
    return;
  }
  this->held_revision = revision;
  this->peer_confirmed_at = now;
  if (this->latest_observation && this->latest_observation->revision <= this->held_revision) {
    this->store_confirmed_at = Later(this->store_confirmed_at, this->latest_observation->at);
  }
  if (this->wanted_revision <= this->held_revision) {
    this->wanted_revision = this->held_revision;
    this->holders.clear();
    this->store_has_wanted_revision = false;
  }
}

ReplicaEffects ReplicaTracker::OnFetchEnded() {
  this->fetch_in_flight = false;
  return this->StartFetch();
}

ReplicaEffects ReplicaTracker::StartFetch() {
  if (this->fetch_in_flight || this->wanted_revision <= this->held_revision) {
    return {};
  }
  if (!this->holders.empty()) {
    this->fetch_in_flight = true;
    const std::string address = this->holders.front();
    this->holders.pop_front();
    return {FetchFromPeer{address, this->wanted_revision}};
  }
  if (this->store_has_wanted_revision) {
    this->fetch_in_flight = true;
    this->store_has_wanted_revision = false;
    return {FetchFromStore{}};
  }
  return {};
}

void ReplicaTracker::Observe(std::uint64_t revision, MonotonicTime at) {
  if (!this->latest_observation || at > this->latest_observation->at) {
    this->latest_observation = Observation{revision, at};
  }
  if (revision <= this->held_revision) {
    this->store_confirmed_at = Later(this->store_confirmed_at, at);
  }
}

ReplicaRevision ReplicaTracker::Report(MonotonicTime now) const {
  ReplicaRevision report;
  report.revision = this->held_revision;
  if (this->store_confirmed_at) {
    report.store_age = AgeOf(*this->store_confirmed_at, now);
  }
  return report;
}

std::optional<milliseconds> ReplicaTracker::ConfirmationAge(MonotonicTime now) const {
  const auto confirmed = Later(this->store_confirmed_at, this->peer_confirmed_at);
  if (!confirmed) {
    return std::nullopt;
  }
  return AgeOf(*confirmed, now);
}

}  // namespace lentilhead::fleet::internal
