#include "batch/internal/endpoint_grant.h"

#include <algorithm>

namespace lentilhead::batch::internal {

namespace {

/// Wait of a new owner, in half lifetimes: one lifetime until the confirmation of the previous
/// owner has expired, and half a lifetime until the endpoint has received the cancels that follow.
constexpr int kNewOwnerWaitHalfLifetimes = 3;

}  // namespace

EndpointGrant::EndpointGrant(std::chrono::milliseconds lifetime) : lifetime(lifetime) {}

void EndpointGrant::OnView(framework::MonotonicTime confirmed, bool is_owner,
                           framework::MonotonicTime now) {
  if (!is_owner) {
    this->owner = false;
    return;
  }
  const bool lapsed = now >= this->confirmed_until;
  if (!this->owner || lapsed) {
    this->may_send_from = now + this->lifetime * kNewOwnerWaitHalfLifetimes / 2;
  }
  this->owner = true;
  this->confirmed_until = std::max(this->confirmed_until, confirmed + this->lifetime);
}

bool EndpointGrant::MaySend(framework::MonotonicTime now) const {
  return this->owner && now >= this->may_send_from && now < this->confirmed_until;
}

bool EndpointGrant::MayRun(framework::MonotonicTime now) const {
  return now < this->confirmed_until;
}

}  // namespace lentilhead::batch::internal
