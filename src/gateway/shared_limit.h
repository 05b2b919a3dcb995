#pragma once

#include <map>
#include <string>

#include "gateway/types/limit_change.h"
#include "gateway/types/limit_report.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// The limit that one endpoint names on the requests of all nodes together, and what is left of it.
///
/// Every node keeps a copy of one token bucket that belongs to the fleet: it fills at the limit,
/// and each request that any node sends takes a token. Nodes hear of each other's requests a moment
/// late, so the bucket may go below zero; the requests after that wait until it is repaid. The
/// copies therefore differ only by what was sent in that moment, whatever messages are lost.
///
/// An answer without a limit doesn't end it at once, because an endpoint may name it in some
/// answers only. A few answers in a row do, at any nodes; to get them soon, the first one adds some
/// tokens. Answers to requests that were sent before the last naming count for nothing.
///
/// Reads no clock and does no I/O.
class SharedLimit {
 public:
  explicit SharedLimit(net::SteadyTime now) : created_at(now), level_at(now) {}

  /// Whether a limit applies.
  [[nodiscard]] bool IsActive() const { return this->limit > 0; }

  /// Requests per second; 0 if none applies.
  [[nodiscard]] double Limit() const { return this->limit; }

  /// Tokens that a full bucket holds.
  [[nodiscard]] double Capacity() const;

  /// Tokens in the bucket; below 0 if too many requests were sent.
  [[nodiscard]] double LevelAt(net::SteadyTime now) const;

  /// Sets the share of the limit that fills the bucket of this node. @param share from 0 to 1.
  void SetShare(double share, net::SteadyTime now);

  /// Records an answer to this node that names a limit.
  /// @param named requests per second. @param sent_at time at which the request was sent.
  LimitChange RecordNamed(double named, net::SteadyTime sent_at, net::SteadyTime now);

  /// Records an answer to this node that names no limit.
  /// @param sent_at time at which the request was sent.
  LimitChange RecordUnnamed(net::SteadyTime sent_at, net::SteadyTime now);

  /// Records a request of this node.
  void RecordSent(net::SteadyTime now);

  /// Adds what a peer reports.
  LimitChange Merge(const std::string& peer, const EndpointLimitReport& report,
                    net::SteadyTime now);

  /// Removes what a peer reported, because it started again.
  void RemovePeer(const std::string& peer) { this->peers.erase(peer); }

  /// Ends the limit if enough answers named none. To be called from time to time.
  LimitChange CheckEnd(net::SteadyTime now);

  /// What this node tells its peers. @param incarnation of the endpoint.
  [[nodiscard]] EndpointLimitReport Report(std::uint32_t incarnation, net::SteadyTime now) const;

  /// Whether this node has anything to report.
  [[nodiscard]] bool IsWorthReporting() const;

  /// Time of the last change of Report() that peers don't derive themselves.
  [[nodiscard]] net::SteadyTime ChangedAt() const { return this->changed_at; }

  /// Time of the last naming to any node.
  [[nodiscard]] net::SteadyTime NamedAt() const { return this->named_at; }

 private:
  /// What a peer reported last.
  struct PeerPart {
    std::uint32_t sent = 0;
    std::uint32_t namings = 0;
    std::uint32_t unnamed = 0;
  };

  void Advance(net::SteadyTime now);
  void Take(double tokens, net::SteadyTime now);
  LimitChange Name(double named, net::SteadyTime at, net::SteadyTime now);
  [[nodiscard]] std::uint32_t Unnamed() const;
  /// Adds tokens for answers that show whether the limit has ended.
  void AddTrialTokens(net::SteadyTime now);

  double limit = 0;
  double share = 1;
  double level = 0;
  net::SteadyTime created_at;
  net::SteadyTime level_at;
  net::SteadyTime named_at;
  net::SteadyTime own_named_at;
  net::SteadyTime trial_at;  ///< of the last trial tokens
  bool is_in_trial = false;  ///< no naming since these
  int failed_trials = 0;     ///< in a row
  net::SteadyTime changed_at;
  std::uint32_t own_sent = 0;
  std::uint32_t own_namings = 0;
  std::uint32_t own_unnamed = 0;
  std::map<std::string, PeerPart> peers;
};

}  // namespace lentilhead::gateway
