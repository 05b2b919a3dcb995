#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "datastore/types/listed_instance.h"
#include "fleet/internal/heartbeat.h"
#include "fleet/internal/member.h"
#include "fleet/internal/membership_effect.h"
#include "fleet/internal/membership_parameters.h"
#include "fleet/internal/update_queue.h"
#include "fleet/types/fleet_view.h"
#include "framework/types/time_types.h"

namespace lentilhead::fleet::internal {

/// Membership protocol of one instance: tracks which instances are alive, suspect, leaving or dead.
///
/// Each period, the instance probes the next peer of a shuffled round with a heartbeat. A peer that
/// answers neither directly nor through relays becomes suspect. A suspect is declared dead unless
/// it refutes the suspicion with a higher incarnation. Heartbeats also carry recent changes. The
/// platform's list only provides addresses of instances to contact. The class is a state
/// machine: the caller passes in all messages and times and executes the effects that it returns.
class Membership {
 public:
  /// @param self this instance. Its incarnation should exceed those of its earlier runs; if it does
  /// not, the instance raises it when a peer sends the earlier one.
  /// @param seed seed of the random choices of peers.
  Membership(FleetInstance self, MembershipParameters parameters, std::uint64_t seed);

  /// Runs one heartbeat period.
  MembershipEffects OnPeriod(framework::MonotonicTime now);

  /// Stores the platform's list of instances.
  void OnListed(const std::vector<datastore::ListedInstance>& listed);

  /// Handles a heartbeat from a peer. @return answer to send.
  Heartbeat OnHeartbeat(const Heartbeat& heartbeat, framework::MonotonicTime now);

  /// Handles the answer to a heartbeat that was sent to `sent.target`.
  MembershipEffects OnAnswer(const SendHeartbeat& sent, const Heartbeat& answer,
                             framework::MonotonicTime now);

  /// Handles a probe that got no answer in time.
  MembershipEffects OnProbeFailed(const std::string& target, framework::MonotonicTime now);

  /// Handles a peer's request to probe a target on its behalf.
  MembershipEffects OnProbeRequest(const std::string& requester_address, const std::string& target,
                                   const std::string& target_address);

  /// Handles a relay's confirmation that a target answered it.
  void OnConfirmation(const FleetInstance& target, framework::MonotonicTime now);

  /// Handles a peer's whole view.
  void OnMembers(const std::vector<FleetInstance>& members, framework::MonotonicTime now);

  /// Sets whether this instance is leaving. @return heartbeats that announce the change.
  MembershipEffects SetLeaving(bool leaving);

  /// Sets the address of this instance's batch process; empty while it is down.
  /// @return heartbeats that announce the change.
  MembershipEffects SetBatchAddress(const std::string& address);

  /// Returns heartbeats to a few random peers, which announce a change without waiting for the next
  /// period.
  MembershipEffects GossipNow();

  void SetSheetRevision(std::uint64_t revision) { this->self.sheet_revision = revision; }

  /// Returns all members including dead ones, for a peer that compares views.
  [[nodiscard]] std::vector<FleetInstance> Members() const;

  [[nodiscard]] FleetView View() const;
  [[nodiscard]] const FleetInstance& Self() const { return this->self; }

  /// True once this instance has received a peer's whole view or found its own digest equal to a
  /// peer's.
  [[nodiscard]] bool HasJoined() const { return this->joined; }

  /// Increases with each change of the view.
  [[nodiscard]] std::uint64_t ViewVersion() const { return this->view_version; }

  /// Counts of events, for metrics.
  struct Counts {
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t syncs = 0;
    std::uint64_t pauses = 0;
  };
  [[nodiscard]] const Counts& EventCounts() const { return this->counts; }

 private:
  MembershipEffects GossipOwnChange();
  void Apply(const FleetInstance& update, framework::MonotonicTime now);
  void ApplyToSelf(const FleetInstance& update);
  void ApplyNew(const FleetInstance& update, framework::MonotonicTime now);
  void SetState(Member& member, InstanceState state, framework::MonotonicTime now);
  void RecordContact(const FleetInstance& sender, framework::MonotonicTime now);
  void DetectPause(framework::MonotonicTime now);
  void ExpireProbes(framework::MonotonicTime now);
  void ExpireSuspicions(framework::MonotonicTime now);
  void RemoveDead(framework::MonotonicTime now);
  void ProbeNext(framework::MonotonicTime now, MembershipEffects& effects);
  void ProbeSuspect(MembershipEffects& effects);
  void ContactSeeds(MembershipEffects& effects);
  void CompareViews(const SendHeartbeat& sent, const Heartbeat& answer,
                    framework::MonotonicTime now, MembershipEffects& effects);
  [[nodiscard]] Heartbeat MakeHeartbeat(const std::string& target);
  [[nodiscard]] SendHeartbeat HeartbeatTo(const FleetInstance& target);
  [[nodiscard]] std::vector<const FleetInstance*> RandomPeers(std::size_t count,
                                                              const std::string& excluded);
  [[nodiscard]] std::uint64_t Digest() const;
  [[nodiscard]] int Transmissions() const;
  [[nodiscard]] std::size_t RandomBelow(std::size_t bound);

  FleetInstance self;
  MembershipParameters parameters;
  std::mt19937_64 random;
  std::map<std::string, Member> members;
  std::map<std::string, std::string> listed;  ///< Address of each listed instance.
  std::vector<std::string> probe_round;       ///< Peers left to probe in this round.
  UpdateQueue update_queue;
  std::uint64_t view_version = 1;
  std::uint64_t periods = 0;
  bool joined = false;
  std::optional<framework::MonotonicTime> last_period;
  std::optional<framework::MonotonicTime> mismatch_since;
  std::optional<framework::MonotonicTime> last_sync;
  Counts counts;
};

}  // namespace lentilhead::fleet::internal
