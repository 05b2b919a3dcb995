#pragma once

#include <map>
#include <memory>
#include <string>

#include "gateway/types/endpoint_state.h"
#include "gateway/types/failure_report.h"

namespace lentilhead::gateway {

/// Judges endpoints by the failure_rate of attempts that failed at them, at all nodes together.
///
/// One node sees too few attempts at each endpoint. A fault may show to callers of one availability
/// zone only, so the own zone's evidence outweighs that of the others.
class OutlierDetector {
 public:
  using Endpoints = std::map<std::string, std::shared_ptr<EndpointState>>;

  /// @param zone availability zone of this node.
  explicit OutlierDetector(std::string zone) : zone(std::move(zone)) {}

  /// What this node saw lately, for its peers.
  [[nodiscard]] FailureReport OwnReport(const Endpoints& endpoints, net::SteadyTime now) const;

  /// Replaces what a peer saw.
  void SetPeerReport(const std::string& peer, FailureReport report);

  /// Forgets a peer that is gone.
  void RemovePeer(const std::string& peer) { this->SetPeerReport(peer, {}); }

  /// Requests a second that all peers sent to a service lately.
  [[nodiscard]] double PeerRequestRate(const std::string& service) const;

  /// Judges all endpoints anew, and logs those that are doubted or trusted again.
  void UpdateEjections(const Endpoints& endpoints, net::SteadyTime now) const;

 private:
  /// Counts of the own availability zone and of the others.
  struct ZoneCounts {
    double own_zone = 0;
    double other_zones = 0;
  };
  using CountsByKey = std::map<std::uint32_t, ZoneCounts>;

  static void Add(CountsByKey& sums, const std::vector<KeyedCount>& counts, bool own_zone);
  [[nodiscard]] static double FailureRate(const ZoneCounts& failures, const ZoneCounts& attempts);

  std::string zone;
  std::map<std::string, FailureReport> reports;
  std::map<std::uint32_t, double> peer_attempts;  ///< by service, decayed counts of all peers
};

}  // namespace lentilhead::gateway
