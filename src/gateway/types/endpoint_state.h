#pragma once

#include <cstdint>
#include <optional>

#include "gateway/types/decaying_count.h"
#include "gateway/types/endpoint_entry.h"
#include "gateway/types/reported_load.h"
#include "placement/endpoint_work.h"

namespace lentilhead::gateway {

/// State of an endpoint as one node sees it.
struct EndpointState {
  EndpointEntry entry;
  std::uint32_t key = 0;          ///< HashKey() of the id; names the endpoint in load messages
  std::uint32_t incarnation = 0;  ///< hash of the id and the start time
  bool listed = true;             ///< the endpoint list contains the entry
  net::SteadyTime usable_until = net::SteadyTime::max();  ///< applies if not listed
  net::SteadyTime suspect_until;                          ///< set by failed attempts of this node
  net::SteadyTime peers_suspect_until;                    ///< set by reports of peers
  net::SteadyTime last_answer;
  bool is_leaving = false;  ///< the endpoint or a peer said so; no new request is sent there
  net::SteadyTime said_leaving_at;  ///< last time at which the endpoint told this node
  net::SteadyTime unframed_end;     ///< last end of an answer without framing
  int ended_together = 0;           ///< answers without framing that ended about then
  bool unreachable = false;         ///< last failure: no connection or silence, as for other nodes
  int failures_in_row = 0;
  DecayingCount attempts;  ///< recent attempts of this node
  DecayingCount failures;  ///< recent attempts of this node that failed
  bool ejected = false;    ///< by outlier detection: the failure rate over all nodes is too high
  bool in_group = true;    ///< the node's group uses the endpoint first
  int shared_by = 1;       ///< number of groups that use the endpoint first
  net::SteadyTime full_until;            ///< outside the group: turned a request down as full
  int own_online = 0;                    ///< online requests of this node in flight
  int own_batch = 0;                     ///< batch requests of this node in flight
  int peer_online = 0;                   ///< online requests of all other nodes in flight
  int peer_batch = 0;                    ///< batch requests of all other nodes in flight
  std::optional<ReportedLoad> reported;  ///< load from the last answer that stated one
  int own_at_report = 0;                 ///< OwnTotal() when that load was reported
  net::SteadyTime reported_at;
  /// Moving average of the time per unit of work: an answer or a stream event. 0 without a sample.
  double unit_latency_ms = 0;
  placement::EndpointWork work;  ///< of services that are placed by work

  /// Requests of this node in flight.
  [[nodiscard]] int OwnTotal() const { return this->own_online + this->own_batch; }
  /// Batch requests of all nodes in flight.
  [[nodiscard]] int Batch() const { return this->own_batch + this->peer_batch; }
};

}  // namespace lentilhead::gateway
