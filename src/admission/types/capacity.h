#pragma once

#include <algorithm>
#include <chrono>

#include "admission/types/ticket.h"

namespace lentilhead::admission {

/// Capacity of a service, as one node of a group sees it.
struct Capacity {
  /// A request may wait for this long in the queue of an endpoint, at the expected releases. A
  /// larger value makes more requests late after a mass return, a smaller one refuses requests of
  /// customers below their share.
  static constexpr std::chrono::duration<double> kMaxEndpointWait{0.1};
  /// Below this part of the slots that have been in use for long, the use grows in a burst.
  static constexpr double kFilledPart = 0.85;

  double slots = 0;   ///< of the group's endpoints
  double places = 0;  ///< requests that these endpoints accept, with those in their queues
  double in_use = 0;  ///< slots that online requests of the group are estimated to use
  double unseen = 0;  ///< of these, those that other nodes are estimated to have taken unheard of
  double established = 0;  ///< slots that were in use long enough ago that they may become free
  /// Slots of the group that are expected to become free per second, at the established use.
  double releases_per_second = 0;
  /// Requests that this node is expected to start per second while no slot is free for long.
  double starts_per_second = 0;
  /// Whether the rate was learned from requests of this node. Nothing is refused by a guess.
  bool is_learned = false;

  /// Whether a large part of the slots was free until a moment ago.
  [[nodiscard]] bool IsFilling() const { return this->established < kFilledPart * this->slots; }

  /// Whether the slots are taken, a large part of them by requests that have just begun.
  [[nodiscard]] bool IsFullByBurst() const {
    return this->IsFilling() && this->in_use + 1 > this->slots;
  }

  /// Whether a request may start now where the endpoints' loads, as heard, show room. In a burst it
  /// may if it is expected to get a slot, or a place in an endpoint's queue in which it waits for a
  /// short time and is still on time.
  [[nodiscard]] bool HasPlaceFor(const Ticket& ticket, net::SteadyTime now) const {
    const double beyond = this->in_use + 1 - this->slots;
    if (beyond <= 0 || (this->unseen <= 0 && !this->IsFilling())) {
      return true;
    }
    const std::chrono::duration<double> longest =
        std::min<std::chrono::duration<double>>(kMaxEndpointWait, ticket.useful_start - now);
    return this->in_use + 1 <= this->places &&
           beyond <= this->releases_per_second * longest.count();
  }

  /// Expected time until an endpoint has such a place.
  [[nodiscard]] std::chrono::duration<double> TimeToPlace() const {
    const double usable = this->slots + kMaxEndpointWait.count() * this->releases_per_second;
    return std::chrono::duration<double>(std::max(0.0, this->in_use + 1 - usable) /
                                         std::max(1.0, this->releases_per_second));
  }

  /// Part of `starts_per_second` that is expected at the established use.
  [[nodiscard]] double EstablishedPart() const {
    return this->slots <= 0 ? 1 : std::clamp(this->established / this->slots, 0.01, 1.0);
  }
};

}  // namespace lentilhead::admission
