#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/endpoint_limits.h"
#include "gateway/outlier_detector.h"
#include "gateway/outside_limits.h"
#include "gateway/placement.h"
#include "gateway/types/choice.h"
#include "gateway/types/choice_request.h"
#include "gateway/types/endpoint_entry.h"
#include "gateway/types/endpoint_group.h"
#include "gateway/types/endpoint_load.h"
#include "gateway/types/endpoint_state.h"
#include "gateway/types/service_work.h"
#include "net/backoff.h"
#include "placement/types/work_candidate.h"

namespace lentilhead::gateway {

/// Holds the endpoints and their load, and chooses among them.
///
/// Reads no clock and does no I/O; the calling code passes the time.
class EndpointRegistry {
 public:
  /// @param zone availability zone of this node; among equals, its endpoints are preferred.
  /// @param draw returns random numbers from 0 up to, but not including, 1; not empty.
  explicit EndpointRegistry(std::string zone, std::function<double()> draw = &net::RandomFraction);

  /// Replaces the endpoint list.
  /// @param keep_missing_until endpoints missing from `entries` stay usable until then.
  void ReplaceAll(const std::vector<EndpointEntry>& entries, net::SteadyTime keep_missing_until);

  /// Adds or updates an entry. A new address or start time resets the endpoint's state.
  void Put(const EndpointEntry& entry);

  /// Removes an endpoint from the list.
  /// @param keep_until the endpoint stays usable until then.
  void Remove(const std::string& id, net::SteadyTime keep_until);

  /// Sets the endpoints that this node's group uses first. Others get online requests only while
  /// none of the group can take one, and no batch requests.
  void SetGroup(const EndpointGroup& group);

  /// Increases whenever an endpoint is added or deleted.
  [[nodiscard]] std::uint64_t ListVersion() const { return this->list_version; }

  /// Deletes endpoints that are neither listed nor usable and have no request in flight. Leaving
  /// endpoints are kept longer, in case that an entry which lapsed in an outage returns.
  void Prune(net::SteadyTime now);

  /// Chooses an endpoint with a free slot by health, load, latency and age of the peers' loads.
  [[nodiscard]] Choice Choose(const ChoiceRequest& request, net::SteadyTime now) const;

  /// Replaces the load of a peer at the endpoints. The peer shares the endpoints from then on.
  /// @param now time at which the message of the peer arrived.
  void SetPeerLoad(const std::string& peer, const std::vector<EndpointLoad>& loads,
                   net::SteadyTime now);

  /// Removes a peer that is lost, and its load.
  void RemovePeer(const std::string& peer);

  /// Records the load that an endpoint reported. Its service is placed by work from then on if it
  /// reports how long work takes.
  void RecordLoad(EndpointState& state, const ReportedLoad& load, net::SteadyTime now);

  /// Sets the name of this node, by which the nodes of a group share its endpoints.
  void SetName(std::string node) { this->name = std::move(node); }

  /// Whether requests for a service are placed by the work left at its endpoints, not by counts.
  [[nodiscard]] bool IsPlacedByWork(const std::string& service) const;

  /// What is known of the pace of a service's endpoints.
  [[nodiscard]] placement::ServicePace& PaceOf(const std::string& service) {
    return this->services[service].pace;
  }

  /// Expected times of a request at an endpoint, for a service that is placed by work.
  [[nodiscard]] placement::WorkCandidate Expect(const EndpointState& state,
                                                const ChoiceRequest& request,
                                                net::SteadyTime now) const;

  /// Sets the average age of the peers' loads.
  void SetPeerLoadAge(std::chrono::milliseconds age);

  /// The detector that ejects endpoints with a high failure rate.
  [[nodiscard]] OutlierDetector& Outliers() { return this->outliers; }

  /// The limits that endpoints name on the requests of all nodes together.
  [[nodiscard]] EndpointLimits& Limits() { return this->limits; }

  /// The endpoints of other groups that name limits.
  [[nodiscard]] OutsideLimits& LimitsOfOthers() { return this->outside_limits; }

  /// Records what an answer says of a limit. @param sent_at time at which the request was sent.
  LimitChange RecordLimit(const EndpointState& state, const LimitNotice& notice,
                          net::SteadyTime sent_at, net::SteadyTime now);

  /// Expected time until the limits of a service's endpoints allow one more request of this node.
  /// @param waiting requests that wait before it.
  /// @return no value if an endpoint that may be chosen names no limit.
  [[nodiscard]] std::optional<std::chrono::milliseconds> PermitWait(const ChoiceRequest& request,
                                                                    std::size_t waiting,
                                                                    net::SteadyTime now) const;

  /// The endpoint of an incarnation; null if it is not known.
  [[nodiscard]] std::shared_ptr<EndpointState> FindIncarnation(std::uint32_t incarnation) const;

  /// Keys of the endpoints that this node recently found unreachable.
  [[nodiscard]] std::vector<std::uint32_t> Unreachable(net::SteadyTime now) const;

  /// Treats endpoints that a peer found unreachable as unreachable for a while.
  void RecordPeerSuspects(const std::vector<std::uint32_t>& keys, net::SteadyTime now);

  /// Incarnations of the endpoints that told this node recently that they are leaving.
  [[nodiscard]] std::vector<std::uint32_t> SaidLeaving(net::SteadyTime now) const;

  /// Marks endpoints as leaving that a peer heard it from.
  /// @return ids of the endpoints that were not marked before.
  std::vector<std::string> RecordPeerLeaving(const std::vector<std::uint32_t>& incarnations);

  /// Requests of this node in flight, by endpoint.
  [[nodiscard]] std::vector<EndpointLoad> OwnLoads(net::SteadyTime now = {}) const;

  /// Number of this node's batch requests that must yield at an endpoint for online work.
  /// @param batch_yielding_before batch requests there of peers that yield before this node.
  [[nodiscard]] static int BatchToYield(const EndpointState& state, int batch_yielding_before,
                                        net::SteadyTime now);

  /// Number of batch requests at an endpoint that yield before those of a node: requests of peers
  /// with greater names yield first.
  [[nodiscard]] int BatchYieldingBefore(const std::string& name, std::uint32_t endpoint_key) const;

  /// Names of the peers with batch requests at an endpoint, if these must yield to online work.
  [[nodiscard]] std::vector<std::string> PeersThatMustYield(const EndpointState& state,
                                                            net::SteadyTime now) const;

  /// Whether a request needs more memory than an endpoint of its service has.
  [[nodiscard]] bool IsTooLarge(const ChoiceRequest& request) const;

  /// Slots of a service's endpoints that this node's group uses first.
  [[nodiscard]] std::size_t GroupSlots(const std::string& service) const;

  /// Share of a service's slots that are in use; 1 if it has no usable endpoint.
  [[nodiscard]] double Occupancy(const std::string& service, net::SteadyTime now) const;

  [[nodiscard]] const std::map<std::string, std::shared_ptr<EndpointState>>& All() const {
    return this->endpoints;
  }

  /// Estimated number of requests of all nodes in flight at an endpoint.
  [[nodiscard]] static int EstimatedTotal(const EndpointState& state, net::SteadyTime now);

 private:
  using PeerLoads = std::map<std::uint32_t, EndpointLoad>;

  /// Which endpoints a choice considers.
  enum class Scope { kGroup, kOthers };

  [[nodiscard]] Choice ChooseAmong(const ChoiceRequest& request, Scope scope,
                                   double median_latency_ms, net::SteadyTime now) const;
  /// Whether the limit that an endpoint names leaves room for one more request.
  [[nodiscard]] bool IsWithinLimit(const EndpointState& state, const ChoiceRequest& request,
                                   net::SteadyTime now) const;
  [[nodiscard]] double UnseenRequests(const ChoiceRequest& request, Scope scope,
                                      int shared_by) const;
  [[nodiscard]] double MedianUnitLatency(const std::string& service) const;
  [[nodiscard]] double Fill(const EndpointState& state, double median_latency_ms,
                            net::SteadyTime now) const;
  void AddPeerLoad(const PeerLoads& loads, int sign);
  /// The load of a peer with its work, which is estimated if an older node does not tell it.
  [[nodiscard]] EndpointLoad WithWork(EndpointLoad load, net::SteadyTime now);
  static void AddPeerLoad(EndpointState& state, const EndpointLoad& load, int sign);
  /// Estimated number of requests of all nodes in flight, for a service that is placed by work.
  [[nodiscard]] static double EstimatedInFlight(const EndpointState& state, net::SteadyTime now);
  /// Chooses by expected time; prefers the endpoints of this node's share unless others are faster.
  /// @param endpoints number of endpoints that the nodes of the group share.
  /// @return index of a candidate.
  [[nodiscard]] std::size_t ChooseByWork(const std::vector<placement::WorkCandidate>& expected,
                                         std::size_t endpoints, double unseen) const;
  /// Whether an endpoint is in this node's share of the endpoints. @param rank place in their list.
  [[nodiscard]] bool IsInShare(std::size_t rank, std::size_t endpoints) const;
  /// Whether an endpoint of a service that is placed by work has a free slot for a request.
  /// @param in_flight as `Expect` gives it: without batch requests that yield to this one.
  [[nodiscard]] static bool HasSlot(const EndpointState& state, const ChoiceRequest& request,
                                    double in_flight);
  /// Tokens that one more request may need at an endpoint; infinite if its memory is not known.
  [[nodiscard]] double FreeMemory(const EndpointState& state, const ChoiceRequest& request) const;
  /// Units of work left of a request in flight at an endpoint, on average.
  [[nodiscard]] double MeanLeft(const EndpointState& state) const;

  std::string zone;
  std::function<double()> draw;
  std::string name;                  ///< of this node; empty if not set
  std::set<std::string> peer_names;  ///< peers that share the endpoints
  OutlierDetector outliers;
  EndpointLimits limits;
  OutsideLimits outside_limits;
  std::chrono::milliseconds peer_load_age{0};
  bool has_whole_group = true;  ///< the group uses all endpoints
  std::uint64_t list_version = 0;
  std::map<std::string, std::shared_ptr<EndpointState>> endpoints;
  std::map<std::uint32_t, std::shared_ptr<EndpointState>> by_key;
  std::map<std::string, PeerLoads> peers;
  std::map<std::string, ServiceWork> services;
};

/// Records the outcomes of attempts in the state that later choices use.
class EndpointFeedback {
 public:
  /// Records an answer, which ends the suspicion.
  static void RecordAnswer(EndpointState& state, net::SteadyTime now);

  /// Records a failed attempt and suspects the endpoint, longer after each failure in a row.
  /// @param unreachable the endpoint could not be connected to or was silent, which is expected to
  ///   affect other nodes, too.
  static void RecordFailure(EndpointState& state, net::SteadyTime now, bool unreachable);

  /// Ends the suspicion of an endpoint that only this node did not reach.
  static void EndSuspicion(EndpointState& state);

  /// Records that the endpoint turned a request down as full.
  static void RecordFull(EndpointState& state, net::SteadyTime now);

  /// Records that another endpoint now has the address.
  static void RecordReplacement(EndpointState& state, net::SteadyTime now);

  /// Counts an attempt.
  static void RecordAttempt(EndpointState& state, net::SteadyTime now);

  /// Counts a failure for an error answer, or for a refusal although the endpoint has free slots.
  static void RecordErrorAnswer(EndpointState& state, net::SteadyTime now);

  /// Records that the endpoint said that it is leaving. The mark ends with this start of the
  /// endpoint, or when its entry has been missing for a while.
  /// @return whether this was new.
  static bool RecordLeaving(EndpointState& state, net::SteadyTime now);

  /// Records the load that the endpoint reported.
  static void RecordLoad(EndpointState& state, const ReportedLoad& load, net::SteadyTime now);

  /// Adds a sample to the moving average of the time per unit: a stream event, or an
  /// answer timed from the arrival of the request at the node.
  static void RecordUnitLatency(EndpointState& state, std::chrono::nanoseconds span);
};

/// Hash of an endpoint's id or of a service's name; the same on all nodes.
[[nodiscard]] std::uint32_t HashKey(const std::string& id);

}  // namespace lentilhead::gateway
