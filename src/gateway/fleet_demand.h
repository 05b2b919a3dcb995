#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/types/decaying_count.h"
#include "gateway/types/limit_report.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// What this node and its peers have to send, by which they share the limits of endpoints.
///
/// Peers that are not heard keep their part for a while: they may be cut off and still send.
/// Services are named by the keys of their names. Reads no clock and does no I/O.
class FleetDemand {
 public:
  /// Records an online request for a service.
  void RecordRequest(std::uint32_t service, net::SteadyTime now);

  /// Records that batch items wait for a service.
  void RecordBatchWork(std::uint32_t service, net::SteadyTime now) {
    this->batch_work[service] = now;
  }

  /// Records a message of a peer.
  /// @param peer its name. @param start name of its incarnation. @param is_leaving it is shutting
  /// down. @param report what it has to send, unless that is empty.
  /// @return whether the peer started since its last message.
  bool RecordPeer(const std::string& peer, const std::string& start, bool is_leaving,
                  const LimitReport& report, net::SteadyTime now);

  /// Adds what this node has to send.
  void AddTo(LimitReport& report, net::SteadyTime now) const;

  /// Forgets peers that are gone and services without requests.
  void Prune(net::SteadyTime now);

  /// Share of all demand of the nodes that this one hears, including itself.
  [[nodiscard]] double HeardShare(net::SteadyTime now) const;

  /// Own share of the online demand for a service among the nodes that are heard.
  [[nodiscard]] double OnlineShare(std::uint32_t service, net::SteadyTime now) const;

  /// Share that this node may take of something for online requests in each period in which it has
  /// some, so that all nodes together take it once in each period on average.
  [[nodiscard]] double OnlineTurn(std::uint32_t service, std::chrono::milliseconds period,
                                  net::SteadyTime now) const;

  /// The same for batch items.
  [[nodiscard]] double BatchTurn(std::uint32_t service, net::SteadyTime now) const;

 private:
  /// What a peer reported last.
  struct Peer {
    std::string start;
    net::SteadyTime heard_at;
    bool is_leaving = false;
    std::map<std::uint32_t, double> requests;  ///< per second, by service
    std::vector<std::uint32_t> batch_work;
  };

  [[nodiscard]] static bool IsHeard(const Peer& peer, net::SteadyTime now);
  [[nodiscard]] double OwnRequests(std::uint32_t service, net::SteadyTime now) const;
  /// Services for which this node has batch items waiting.
  [[nodiscard]] std::vector<std::uint32_t> OwnBatchWork(net::SteadyTime now) const;
  /// Part of a node in the demand of all.
  [[nodiscard]] static double Weight(double requests, bool has_batch_work);

  std::map<std::string, Peer> peers;
  std::map<std::uint32_t, DecayingCount> requests;      ///< of this node, by service
  std::map<std::uint32_t, net::SteadyTime> batch_work;  ///< last time, by service
};

}  // namespace lentilhead::gateway
