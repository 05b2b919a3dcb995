#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "customers/counting_nodes.h"
#include "customers/recent_count.h"
#include "customers/types/quota.h"
#include "customers/types/quota_decision.h"
#include "customers/types/quota_event.h"
#include "customers/types/quota_message.h"

namespace lentilhead::customers {

/// Decides at a node whether a request of a customer with a quota may go now. Reads no clock and
/// does no I/O.
///
/// A request of a customer that the counting node has called far from its quota goes at once and is
/// reported. Otherwise the node asks: the first counting node, then the second, and without an
/// answer it takes at most its share of the quota.
class QuotaGate {
 public:
  /// Names a request that waits for an answer.
  using Ticket = std::uint64_t;
  using Verdict = std::variant<QuotaDecision, Ticket>;
  /// Decision on a request that waited.
  using Resolution = std::pair<Ticket, QuotaDecision>;
  /// A datagram and the node that it is for.
  using Message = std::pair<NodeKey, QuotaRequest>;

  /// @param self this node. @param start names this start of it.
  QuotaGate(NodeKey self, std::uint32_t start) : self(self), start(start) {}

  [[nodiscard]] CountingNodes& Nodes() { return this->nodes; }

  /// Sets the quotas in force by key of the customer. A customer whose quota became lower is asked
  /// about; one that has none any more is forgotten.
  void SetQuotas(const std::unordered_map<std::uint32_t, Quota>& quotas);

  /// Decides on a request. @return a ticket if the request has to wait for an answer.
  [[nodiscard]] Verdict Request(std::uint32_t customer, const Quota& quota, net::SteadyTime now);

  /// Gives back the place of a request that was admitted but refused before it ran.
  void GiveBack(std::uint32_t customer);

  /// Takes the answers of a counting node.
  [[nodiscard]] std::vector<Resolution> Handle(const QuotaReply& reply, net::SteadyTime now);

  /// Ends waits, and decides which counting nodes are asked. Is due before each TakeMessages().
  [[nodiscard]] std::vector<Resolution> Tick(net::SteadyTime now);

  /// Returns the questions and the reports that are due.
  [[nodiscard]] std::vector<Message> TakeMessages(net::SteadyTime now);

  /// Records that the process did not run for a while: what it knew is outdated, and requests that
  /// are read now may have been sent long before.
  void NoteStall(net::SteadyTime now);

  /// Whether Tick() has anything to do before the next request.
  [[nodiscard]] bool IsActive() const { return !this->active.empty(); }

  [[nodiscard]] std::vector<QuotaEvent> TakeEvents() { return std::exchange(this->events, {}); }

 private:
  /// What a counting node was told of a customer last.
  struct Report {
    NodeKey node = 0;
    std::int64_t used = 0;
    std::uint64_t sequence = 0;
    net::SteadyTime sent;
    bool is_confirmed = true;
  };
  /// A question to one counting node after another.
  struct Question {
    std::vector<std::pair<NodeKey, std::uint64_t>> sent;  ///< counting nodes and datagrams
    std::size_t wanted = 0;
    std::int64_t used = 0;
    net::SteadyTime asked;  ///< last
    bool is_due = true;     ///< to be sent to the last counting node
  };
  struct Entry {
    Quota quota;
    bool is_free = false;
    bool was_free = false;  ///< by the last answer
    bool has_fallen_back = false;
    bool is_limiting = false;
    bool must_confirm = false;  ///< a notice
    std::int64_t used = 0;
    RecentCount recent;           ///< of the used ones
    int held = 0;                 ///< requests refused without a question since the last one
    std::vector<Ticket> waiting;  ///< oldest first
    std::optional<Question> question;
    std::vector<Report> reports;
    CountingNodes::Ranking ranking;
    std::uint64_t ranking_version = 0;
    net::SteadyTime held_until;  ///< requests are refused until then
    net::SteadyTime room_at;     ///< when the quota has room, as told last
    net::SteadyTime last_request;
    net::SteadyTime last_refusal;
    net::SteadyTime last_answer;
    std::optional<double> share;  ///< of this node, as told last
    double demand = 0;            ///< at all nodes, as told last
    double share_level = 0;       ///< requests that this node may admit without an answer
    net::SteadyTime share_filled;
  };
  struct Link {
    std::uint32_t start = 0;
    net::SteadyTime unanswered_since;  ///< begin of time if nothing is
    net::SteadyTime silent_since;      ///< begin of time if it answers
    net::SteadyTime probed;

    [[nodiscard]] bool IsSilent() const { return this->silent_since != net::SteadyTime{}; }
  };

  Entry& EntryOf(std::uint32_t customer, const Quota& quota);
  void UpdateRanking(std::uint32_t customer, Entry& entry);
  [[nodiscard]] bool IsSilent(NodeKey node) const;
  [[nodiscard]] std::optional<NodeKey> Primary(const Entry& entry) const;
  /// Returns the next counting node to ask.
  [[nodiscard]] std::optional<NodeKey> NextToAsk(const Entry& entry) const;
  void Ask(Entry& entry, net::SteadyTime now);
  /// Decides on the oldest waiting requests of a question. @param count number of them.
  void Resolve(std::uint32_t customer, Entry& entry, std::size_t count, QuotaDecision decision,
               net::SteadyTime now, std::vector<Resolution>& resolutions);
  void HandleAnswer(const QuotaReply& reply, const QuotaAnswer& answer, net::SteadyTime now,
                    std::vector<Resolution>& resolutions);
  void HandleGrant(std::uint32_t customer, Entry& entry, const QuotaReply& reply,
                   const QuotaAnswer& answer, net::SteadyTime now,
                   std::vector<Resolution>& resolutions);
  void TickEntry(std::uint32_t customer, Entry& entry, net::SteadyTime now,
                 std::vector<Resolution>& resolutions);
  void FallBack(std::uint32_t customer, Entry& entry, net::SteadyTime now,
                std::vector<Resolution>& resolutions);
  [[nodiscard]] double FallbackRate(const Entry& entry, net::SteadyTime now) const;
  void CheckLinks(net::SteadyTime now);
  void NoteHeard(const QuotaReply& reply, net::SteadyTime now);
  void StopFree(std::optional<NodeKey> counting_node);
  void NoteRefusal(std::uint32_t customer, Entry& entry, net::SteadyTime now);
  [[nodiscard]] bool IsReportDue(const Entry& entry, const Report& report,
                                 net::SteadyTime now) const;
  [[nodiscard]] bool IsIdle(const Entry& entry, net::SteadyTime now) const;
  void Add(std::map<NodeKey, QuotaRequest>& messages, NodeKey node, std::uint32_t customer,
           Entry& entry, int wanted, net::SteadyTime now);

  NodeKey self;
  std::uint32_t start;
  CountingNodes nodes;
  std::unordered_map<std::uint32_t, Entry> entries;
  std::set<std::uint32_t> active;  ///< customers for which there is something to do
  std::map<NodeKey, Link> links;
  std::vector<QuotaEvent> events;
  net::SteadyTime late_until;
  std::uint64_t sequence = 0;
  Ticket last_ticket = 0;
};

}  // namespace lentilhead::customers
