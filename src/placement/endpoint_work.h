#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "net/http_types.h"
#include "placement/held_parts.h"
#include "placement/service_pace.h"
#include "placement/types/peer_work.h"
#include "placement/types/request_cost.h"

namespace lentilhead::placement {

/// The work left at one endpoint and the pace at which it does it, as one node sees them.
///
/// The time of a unit of work is the product of a usual time, which changes slowly and is learned
/// from answers, and of the slowdown that the endpoint reports, which holds for a fraction of a
/// second. Reads no clock.
class EndpointWork {
 public:
  using RequestId = std::uint64_t;

  /// Adds a request of this node. @return its id; never 0.
  RequestId Begin(const RequestCost& cost);

  /// Records how far a request is. @param units received so far.
  void Advance(RequestId id, double units);

  /// Removes a request of this node.
  void End(RequestId id);

  /// Units left of this node's requests.
  [[nodiscard]] double OwnLeft() const { return this->own_left; }
  /// Units left of all nodes' requests.
  [[nodiscard]] double Left() const { return this->own_left + this->peer_left; }
  /// Tokens that the requests of all nodes need, at most.
  [[nodiscard]] double Memory() const { return this->own_memory + this->peer_memory; }

  /// What peers are told.
  [[nodiscard]] PeerWork ForPeers(net::SteadyTime now) const;

  /// Adds or removes the work of a peer. @param sign 1 or -1.
  void AddPeer(const PeerWork& work, int sign);

  /// Records what a peer knows of the endpoint's pace.
  void LearnFromPeer(const PeerWork& work, net::SteadyTime now);

  /// Records the slowdown that the endpoint reported; 1 is usual.
  void RecordSlowdown(double slowdown, net::SteadyTime measured_at);

  /// Records the time that the endpoint took for a unit of work.
  void RecordUnit(std::chrono::duration<double, std::milli> span, ServicePace& pace,
                  net::SteadyTime now);

  /// Expected slowdown now: a reported one counts less as it ages.
  [[nodiscard]] double Slowdown(net::SteadyTime now) const;

  /// Usual time of a unit at this endpoint.
  [[nodiscard]] double UsualUnitMs(const ServicePace& pace) const;

  /// Expected time of a unit now.
  [[nodiscard]] double UnitMs(const ServicePace& pace, net::SteadyTime now) const {
    return this->UsualUnitMs(pace) * this->Slowdown(now);
  }

  /// The parts that the endpoint is expected to hold.
  [[nodiscard]] const HeldParts& Held() const { return this->held; }

  /// Records that the endpoint holds the parts of a request that it has answered.
  /// @param capacity tokens that the endpoint can hold; 0 if not known.
  void RecordHeld(const std::vector<PromptTokens>& parts, double capacity) {
    this->held.Add(parts, capacity);
  }

 private:
  /// A request of this node in flight.
  struct Request {
    RequestId id = 0;
    double units = 0;
    double units_high = 0;
    double done = 0;
    double memory = 0;
  };

  [[nodiscard]] static double LeftOf(const Request& request);
  void Sum();
  void SetSlowdown(double reported, net::SteadyTime measured_at);

  std::vector<Request> requests;
  RequestId last_id = 0;
  double own_left = 0;
  double own_memory = 0;
  double peer_left = 0;
  double peer_memory = 0;
  double usual_ms = 0;  ///< of a unit, by this node's samples; 0 without one
  int samples = 0;
  double peers_usual_ms = 0;  ///< the same as peers report it
  double slowdown = 1;
  double mean_slowdown = 1;
  net::SteadyTime slowdown_at;
  std::optional<net::SteadyTime> reported_at;  ///< of the last slowdown from the endpoint itself
  HeldParts held;
};

}  // namespace lentilhead::placement
