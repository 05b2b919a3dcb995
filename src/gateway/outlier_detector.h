#pragma once

#include <map>
#include <memory>
#include <string>

#include "gateway/types/endpoint_state.h"
#include "gateway/types/failure_report.h"

namespace lentilhead::gateway {

/// Ejects endpoints by their failure rate over the attempts of all nodes.
///
/// The counts of all nodes are combined because a single node makes too few attempts at each
/// endpoint. A fault may affect the nodes of one availability zone only, so the counts of the own
/// zone outweigh those of the other zones.
class OutlierDetector {
 public:
  using Endpoints = std::map<std::string, std::shared_ptr<EndpointState>>;

  /// @param zone availability zone of this node.
  explicit OutlierDetector(std::string zone) : zone(std::move(zone)) {}

  /// Recent counts of this node, for its peers.
  [[nodiscard]] FailureReport OwnReport(const Endpoints& endpoints, net::SteadyTime now) const;

  /// Replaces the report of a peer. A report without a zone removes it.
  void SetPeerReport(const std::string& peer, FailureReport report);

  /// Removes the report of a peer that has left.
  void RemovePeer(const std::string& peer) { this->SetPeerReport(peer, {}); }

  /// Recent request rate of all peers to a service, in requests per second.
  [[nodiscard]] double PeerRequestRate(const std::string& service) const;

  /// Sets `ejected` of all endpoints by their failure rates, and logs every change.
  void UpdateEjections(const Endpoints& endpoints, net::SteadyTime now) const;

 private:
  /// Counts of the own availability zone and of the other zones.
  struct ZoneCounts {
    double own_zone = 0;
    double other_zones = 0;
  };
  using CountsByKey = std::map<std::uint32_t, ZoneCounts>;

  static void Add(CountsByKey& sums, const std::vector<KeyedCount>& counts, bool own_zone);
  [[nodiscard]] static double FailureRate(const ZoneCounts& failures, const ZoneCounts& attempts);

  std::string zone;
  std::map<std::string, FailureReport> reports;
  std::map<std::uint32_t, double> peer_attempts;  ///< of all peers, by key of the service
};

}  // namespace lentilhead::gateway
