#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/http_types.h"
#include "relay/types/belief_change.h"
#include "relay/types/due_probe.h"
#include "relay/types/path.h"
#include "relay/types/target.h"

namespace lentilhead::relay {

/// Decides from which endpoints this node is cut off while its peers reach them.
///
/// The evidence is a contradiction: this node fails to connect to an endpoint at the time at which
/// a connection through a peer reaches it. An endpoint that is down fails on both paths and gives
/// none; one that pauses still accepts connections. A single contradiction moves new connections to
/// the peer's path, which is harmless if it is wrong. The belief to be cut off, which operators and
/// peers see, takes several of them.
///
/// Reads no clock and does no I/O; the calling code passes the time.
class CutEvidence {
 public:
  using Key = std::uint32_t;

  /// Replaces the list of endpoints. Evidence on endpoints that stay listed is kept.
  void SetTargets(const std::vector<Target>& targets);

  /// Records whether a connection from this node reached an endpoint.
  /// @param started when the connection was begun; a failure that began before the last success is
  ///   ignored, and so is one that took so long that this process can't have run.
  void RecordDirect(Key key, bool reached, net::SteadyTime started, net::SteadyTime now);

  /// Records whether a connection through a peer reached an endpoint. A peer that can't tell, such
  /// as one that refuses, is no evidence.
  void RecordThroughPeer(Key key, bool reached, net::SteadyTime now);

  /// Records that a request of this node at an endpoint has waited for long, so that the paths to
  /// the endpoint are probed.
  void RecordSilence(Key key, net::SteadyTime now);

  /// Records that the connection of a request was accepted by an endpoint and lost before any byte
  /// of an answer arrived, so that the paths to the endpoint are probed. It is no failure yet: the
  /// request may have ended the endpoint.
  void RecordLoss(Key key, net::SteadyTime now);

  /// Records that bytes of an answer arrived on some connection from this node or through a peer.
  void RecordAnswer(net::SteadyTime now) { this->last_answer = now; }

  /// The path on which to open a new connection to an endpoint first.
  [[nodiscard]] Path PathTo(Key key, net::SteadyTime now) const;

  /// Whether this node believes to be cut off from an endpoint that its peers reach.
  [[nodiscard]] bool IsCutOff(Key key) const;

  /// Whether a failure to reach an endpoint says nothing of the endpoint: this node is cut off, or
  /// a peer reached it a moment ago.
  [[nodiscard]] bool ExcusesFailure(Key key, net::SteadyTime now) const;

  /// Whether this node believes to be cut off from all endpoints that its peers reach.
  [[nodiscard]] bool IsCutOffFromAll() const;

  /// Whether no path to any endpoint works, so that requests are best refused at once.
  [[nodiscard]] bool IsIsolated(net::SteadyTime now) const;

  /// Number of endpoints that this node believes to be cut off from.
  [[nodiscard]] std::size_t CutOffCount() const;

  /// Names the probes to begin now and counts them as begun.
  /// @param random number from 0 to 1 that picks sound endpoints to compare with.
  /// @param most connections that may be opened for them.
  [[nodiscard]] std::vector<DueProbe> TakeDueProbes(double random, std::size_t most,
                                                    net::SteadyTime now);

  /// Changes of belief since the last call.
  [[nodiscard]] std::vector<BeliefChange> TakeChanges();

 private:
  struct State {
    std::string zone;
    std::optional<net::SteadyTime> open_failure;  ///< without a success of a peer beside it
    std::optional<net::SteadyTime> open_success;  ///< of a peer, without a failure beside it
    net::SteadyTime failed_at;
    net::SteadyTime reached_at;
    net::SteadyTime peer_reached_at;
    int contradictions = 0;  ///< since the endpoint was last reached, or not by a peer either
    net::SteadyTime first_contradiction;
    net::SteadyTime last_contradiction;
    net::SteadyTime unsound_at;  ///< last time at which contradictions turned out to be none
    net::SteadyTime lost_at;     ///< when a request's connection was last lost before an answer
    net::SteadyTime suspected_at;
    net::SteadyTime probed_at;
    std::chrono::milliseconds probe_pause{0};
    bool is_cut = false;
    net::SteadyTime cut_since;
  };

  struct Zone {
    std::size_t size = 0;
    net::SteadyTime reached_at;
    bool is_cut = false;
    net::SteadyTime cut_since;
  };

  void PairUp(Key key, State& state, net::SteadyTime now);
  void ForgetContradictions(State& state, net::SteadyTime now);
  void JudgeEndpoint(Key key, State& state, net::SteadyTime now);
  void JudgeZone(const std::string& name, net::SteadyTime now);
  void JudgeAll(net::SteadyTime now);
  void EndZone(const std::string& name, Zone& zone, net::SteadyTime now);
  [[nodiscard]] static bool IsSuspect(const State& state, net::SteadyTime now);
  /// Whether two endpoints have contradictions and none of the same scope was reached since.
  /// @param zone the scope; empty for all endpoints.
  [[nodiscard]] bool IsScopeDoubtful(const std::string& zone, net::SteadyTime reached_at,
                                     net::SteadyTime now) const;
  /// Adds an endpoint that is not believed to be cut off, to compare suspects with.
  /// @param zone of the endpoint; any if empty.
  void AddComparisons(std::vector<DueProbe>& probes, const std::optional<std::string>& zone,
                      double random, net::SteadyTime now);
  void AddSuspects(std::vector<DueProbe>& probes, net::SteadyTime now);
  void AddCutProbes(std::vector<DueProbe>& probes, net::SteadyTime now);
  /// Removes the probes that exceed a number of connections, and lets them be due again.
  void KeepWithin(std::size_t most, std::vector<DueProbe>& probes);

  std::map<Key, State> states;
  std::map<std::string, Zone> zones;
  std::set<Key> doubtful;  ///< endpoints with contradictions or a recent failure
  net::SteadyTime reached_at;
  net::SteadyTime last_answer;
  bool is_cut_from_all = false;
  net::SteadyTime cut_from_all_since;
  std::vector<BeliefChange> changes;
};

}  // namespace lentilhead::relay
