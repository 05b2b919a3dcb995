#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/outlier_detector.h"
#include "gateway/placement.h"
#include "gateway/types/choice.h"
#include "gateway/types/choice_request.h"
#include "gateway/types/endpoint_entry.h"
#include "gateway/types/endpoint_load.h"
#include "gateway/types/endpoint_state.h"

namespace lentilhead::gateway {

/// The endpoints that a node knows, their load, and the choice among them.
///
/// Reads no clock and no socket: times are passed in.
class EndpointRegistry {
 public:
  /// @param zone availability zone of this node; its endpoints are preferred among equals.
  explicit EndpointRegistry(std::string zone) : zone(zone), outliers(std::move(zone)) {}

  /// Takes over the whole list.
  /// @param keep_missing_until endpoints that the list lacks stay usable until then.
  void ReplaceAll(const std::vector<EndpointEntry>& entries, net::SteadyTime keep_missing_until);

  /// Takes over one entry, new or changed.
  void Put(const EndpointEntry& entry);

  /// Takes an endpoint off the list.
  /// @param keep_until the endpoint stays usable until then.
  void Remove(const std::string& id, net::SteadyTime keep_until);

  /// Forgets endpoints that are no longer listed, usable or at work.
  void Prune(net::SteadyTime now);

  /// Chooses an endpoint with room for the class of work by load, pace and age of knowledge.
  [[nodiscard]] Choice Choose(const ChoiceRequest& request, net::SteadyTime now) const;

  /// Replaces what a peer has at the endpoints; an empty list when the peer is gone.
  void SetPeerLoad(const std::string& peer, const std::vector<EndpointLoad>& loads);

  /// Sets how old the peers' loads are on average.
  void SetPeerLoadAge(std::chrono::milliseconds age) { this->peer_load_age = age; }

  /// Tells endpoints that fail too often from the others.
  [[nodiscard]] OutlierDetector& Outliers() { return this->outliers; }

  /// Keys of the endpoints that this node found out of reach lately.
  [[nodiscard]] std::vector<std::uint32_t> Unreachable(net::SteadyTime now) const;

  /// Notes endpoints that a peer found out of reach.
  void RecordPeerSuspects(const std::vector<std::uint32_t>& keys, net::SteadyTime now);

  /// What this node has at the endpoints.
  [[nodiscard]] std::vector<EndpointLoad> OwnLoads() const;

  /// Number of own batch requests at an endpoint that must end for online work to have room.
  /// @param batch_of_peers_before batch requests there of the peers that yield before this node.
  [[nodiscard]] static int BatchToYield(const EndpointState& state, int batch_of_peers_before,
                                        net::SteadyTime now);

  /// Batch requests at an endpoint of the peers whose names come after a name.
  [[nodiscard]] int BatchOfPeersAfter(const std::string& name, std::uint32_t endpoint_key) const;

  /// Peers whose batch requests are in the way of online work at an endpoint.
  [[nodiscard]] std::vector<std::string> PeersToPreempt(const EndpointState& state,
                                                        net::SteadyTime now) const;

  /// Share of the places of a service that are taken, 1 when none is listed.
  [[nodiscard]] double Occupancy(const std::string& service, net::SteadyTime now) const;

  [[nodiscard]] const std::map<std::string, std::shared_ptr<EndpointState>>& All() const {
    return this->endpoints;
  }

  /// Requests at an endpoint, of all nodes, as far as it is known.
  [[nodiscard]] static int EstimatedTotal(const EndpointState& state, net::SteadyTime now);

 private:
  using PeerLoads = std::map<std::uint32_t, EndpointLoad>;

  [[nodiscard]] double MedianUnitLatency(const std::string& service) const;
  [[nodiscard]] double Fill(const EndpointState& state, double median_latency_ms,
                            net::SteadyTime now) const;
  void AddPeerLoad(const PeerLoads& loads, int sign);

  std::string zone;
  OutlierDetector outliers;
  std::chrono::milliseconds peer_load_age{0};
  std::map<std::string, std::shared_ptr<EndpointState>> endpoints;
  std::map<std::uint32_t, std::shared_ptr<EndpointState>> by_key;
  std::map<std::string, PeerLoads> peers;
};

/// Notes the outcome of an attempt for later choices.
class EndpointFeedback {
 public:
  /// The endpoint answered.
  static void RecordAnswer(EndpointState& state, net::SteadyTime now);

  /// The endpoint broke off, or could not be reached.
  /// @param out_of_reach it could not be reached, or is silent: other nodes meet the same.
  static void RecordFailure(EndpointState& state, net::SteadyTime now, bool unreachable);

  /// The endpoint had given up a connection on which a request was sent after a pause.
  static void RecordStaleConnection(EndpointState& state, std::chrono::milliseconds pause,
                                    net::SteadyTime now);

  /// Another endpoint has the address now.
  static void RecordReplacement(EndpointState& state, net::SteadyTime now);

  /// A request is sent to the endpoint.
  static void RecordAttempt(EndpointState& state, net::SteadyTime now);

  /// The endpoint answered, but failed at the request or turned it down without being full.
  static void RecordErrorAnswer(EndpointState& state, net::SteadyTime now);

  /// The endpoint stated its load.
  static void RecordLoad(EndpointState& state, const ReportedLoad& load, net::SteadyTime now);

  /// A unit of work, an event or an answer, took so long.
  static void RecordUnitLatency(EndpointState& state, std::chrono::nanoseconds span);
};

/// Hash of an endpoint's id that all nodes share.
[[nodiscard]] std::uint32_t EndpointKey(const std::string& id);

}  // namespace lentilhead::gateway
