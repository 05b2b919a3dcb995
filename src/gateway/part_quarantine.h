#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "gateway/answered_parts.h"
#include "gateway/types/part_evidence.h"
#include "gateway/types/part_verdict.h"
#include "gateway/types/request_end.h"
#include "net/http_types.h"

namespace lentilhead::gateway {

/// Finds the requests, and the parts of prompts, that end the endpoints which begin to answer them,
/// and holds these requests back. Answers a "query of death": a request that comes again, or
/// requests that share such a part, come at all nodes and would end one endpoint after the other.
///
/// A request and each part of its prompt are keys of the same evidence; below, a part is either. A
/// part is suspected when endpoints ended with requests of it that had no event yet. It is held
/// when such ends, at different times, follow each other without an answer in between; a part that
/// was answered before needs more of them. The ends of a held part count for no other one: first
/// come requests that came again, then parts, those that stand later before others, then requests
/// that came once. The ends of endpoints that go down together count once. An answer to a request
/// with the part, at any node, ends the suspicion.
///
/// While a part is held, single probes of the whole fleet find out whether it still ends endpoints,
/// at growing distances. All nodes decide alike because they exchange the evidence. Reads no clock
/// and does no I/O.
class PartQuarantine {
 public:
  /// Tells whether this node may send the probe of a part in a turn. Turns go round the nodes.
  using TurnCheck = std::function<bool(PartKey part, std::uint64_t turn)>;

  /// Ends that are kept of a part; the newest count.
  static constexpr std::size_t kMaxEnds = 8;
  /// Longest list of evidence that Evidence() returns.
  static constexpr std::size_t kMaxSharedEvidence = 24;

  /// Sets the function that tells whose turn it is; every turn is the own one until then.
  void SetTurnCheck(TurnCheck check) { this->is_own_turn = std::move(check); }

  /// Sets the function that is called after each change of the evidence.
  void OnChange(std::function<void()> callback) { this->on_change = std::move(callback); }

  /// Whether there is evidence that PromptKeys::own may match.
  [[nodiscard]] bool HasEvidence() const { return !this->suspects.empty(); }

  /// Records that an endpoint answered a request with these keys: its first event or all of it.
  void RecordAnswer(const PromptKeys& keys, net::SteadyTime now);

  /// Records a request that an endpoint held when it ended.
  void RecordEnd(const RequestEnd& end, net::SteadyTime now);

  /// Decides how long a request that an endpoint held when it ended waits before it is sent again.
  /// Other nodes may learn meanwhile that a part of it is to blame.
  /// @return 0 if every part was answered before, or if the answer had not begun.
  [[nodiscard]] std::chrono::milliseconds PauseBeforeRetry(const RequestEnd& end) const;

  /// Decides how long a request waits because another one with the same content has just ended an
  /// endpoint. What becomes of that one, and of others that were sent already, is known soon.
  /// @return 0 if there is no such request, or if requests with this content are held.
  [[nodiscard]] std::chrono::milliseconds PauseBeforeSend(const PromptKeys& keys,
                                                          const std::string& request_id,
                                                          net::SteadyTime now) const;

  /// Decides whether a request that lost its connection to an endpoint may be sent to another one.
  /// @return false if endpoints ended under it, or under one with the same content, at two times.
  [[nodiscard]] bool MaySendAgain(const RequestEnd& end) const;

  /// Decides whether a request with these keys may be sent.
  [[nodiscard]] PartVerdict Check(const PromptKeys& keys, net::SteadyTime now) const;

  /// Records that the probe of a part is being sent.
  void RecordProbe(PartKey part, net::SteadyTime now);

  /// What the other nodes are to know, the held parts first.
  /// @param for_new_node also what has not changed for long, and is known to all other nodes.
  [[nodiscard]] std::vector<PartEvidence> Evidence(net::SteadyTime now, bool for_new_node) const;

  /// Adds the evidence of another node.
  void Merge(const std::vector<PartEvidence>& evidence, net::SteadyTime now);

  /// Forgets evidence that no longer applies.
  void Prune(net::SteadyTime now);

  /// Increases with each change of the evidence.
  [[nodiscard]] std::uint64_t Version() const { return this->version; }

  /// Number of parts that are held.
  [[nodiscard]] std::size_t HeldCount() const { return this->held.size(); }

 private:
  /// Ends at fewer times may have one cause outside the requests.
  static constexpr std::size_t kMinTimes = 2;

  /// An end, with its time at this node.
  struct TimedEnd {
    std::uint32_t endpoint = 0;
    std::uint32_t request = 0;
    int weight = 0;
    net::SteadyTime at;
  };

  /// A part under which endpoints ended.
  struct Suspect {
    [[nodiscard]] bool IsRequest() const { return this->depth == PartEvidence::kWholeRequest; }

    int depth = 0;
    std::vector<TimedEnd> ends;    ///< since the last answer, ordered by time
    net::SteadyTime last_answer;   ///< epoch if none is known
    net::SteadyTime last_changed;  ///< last end, answer or probe
    int probes = 0;
    net::SteadyTime last_probe;
  };
  using Suspects = std::map<PartKey, Suspect>;

  /// How strongly a part is suspected.
  struct Suspicion {
    int weight = 0;
    std::size_t ends = 0;
    std::size_t times = 0;  ///< ends that are close together count once
    std::size_t requests = 0;
  };

  /// Order in which suspects are held; the greatest first.
  using Rank = std::tuple<int, int, int, std::size_t>;

  void NoteChange();
  static bool AddEnd(Suspect& suspect, const TimedEnd& end);
  [[nodiscard]] static Suspicion Weigh(const Suspect& suspect,
                                       const std::set<std::uint32_t>& explained);
  [[nodiscard]] static bool IsBlamed(const Suspect& suspect, const Suspicion& suspicion);
  [[nodiscard]] static Rank RankOf(const Suspect& suspect, const Suspicion& suspicion);
  [[nodiscard]] std::set<std::uint32_t> EndpointsExplained() const;
  [[nodiscard]] static net::SteadyTime ProbeDue(const Suspect& suspect);
  [[nodiscard]] bool HasTurn(PartKey part, std::chrono::nanoseconds since_due) const;
  [[nodiscard]] const Suspects::value_type* NextToBlame(
      const std::set<PartKey>& blamed, const std::set<std::uint32_t>& explained) const;
  void NoteAnswer(PartKey part, net::SteadyTime at, net::SteadyTime now);
  Suspect& SuspectOf(PartKey part, int depth);
  bool MergeOne(const PartEvidence& evidence, net::SteadyTime now);
  /// Decides anew which parts are held, from all evidence.
  void UpdateHeld(net::SteadyTime now);
  void LogHeld(PartKey part, net::SteadyTime now) const;
  void MakeRoom();

  TurnCheck is_own_turn;
  std::function<void()> on_change;
  AnsweredParts answered;
  Suspects suspects;
  std::set<PartKey> held;
  std::uint64_t version = 0;
};

}  // namespace lentilhead::gateway
