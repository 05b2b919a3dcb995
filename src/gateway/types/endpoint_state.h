#pragma once

#include <cstdint>
#include <optional>

#include "gateway/types/decaying_count.h"
#include "gateway/types/endpoint_entry.h"
#include "gateway/types/reported_load.h"

namespace lentilhead::gateway {

/// What a node knows of an endpoint.
struct EndpointState {
  EndpointEntry entry;
  std::uint32_t key = 0;  ///< hash of the id, as in load messages
  bool listed = true;
  net::SteadyTime usable_until = net::SteadyTime::max();  ///< an entry that lapsed in an outage
  net::SteadyTime suspect_until;                          ///< set by failed attempts
  net::SteadyTime peers_suspect_until;                    ///< set by what peers report
  net::SteadyTime last_answer;
  bool unreachable = false;  ///< the last failure was of the endpoint, not of a connection
  int failures_in_row = 0;
  DecayingCount attempts;  ///< requests of this node that were sent there lately
  DecayingCount failures;  ///< those of them that failed
  bool ejected = false;    ///< too large a share of attempts fails there, at all nodes together
  int own_online = 0;
  int own_batch = 0;
  int peer_online = 0;
  int peer_batch = 0;
  std::optional<ReportedLoad> reported;
  int own_at_report = 0;
  net::SteadyTime reported_at;
  double unit_latency_ms = 0;  ///< smoothed time of a unit of work; 0 until one was seen
  std::chrono::milliseconds stale_idle{0};  ///< shortest pause after which one was given up
  net::SteadyTime stale_idle_until;         ///< that is believed until then

  /// Longest pause after which a connection may be used again, as far as failures show.
  [[nodiscard]] std::chrono::milliseconds IdleLimit(net::SteadyTime now) const {
    return now < this->stale_idle_until ? this->stale_idle / 2 : std::chrono::milliseconds::max();
  }

  [[nodiscard]] int OwnTotal() const { return this->own_online + this->own_batch; }
  [[nodiscard]] int Batch() const { return this->own_batch + this->peer_batch; }
};

}  // namespace lentilhead::gateway
