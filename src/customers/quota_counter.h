#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "customers/counting_nodes.h"
#include "customers/quota_window.h"
#include "customers/types/quota_message.h"

namespace lentilhead::customers {

/// Counts the requests of customers at all nodes, for the customers whose counting node this node
/// is. Reads no clock and does no I/O.
///
/// Each customer has a sliding window of 5 s. Requests that nodes ask for are counted in it, and so
/// are those that nodes report afterwards. Nodes report cumulative counts: a count above the known
/// one is charged, a count below it removes requests that were granted but not used.
class QuotaCounter {
 public:
  /// @param self this node. @param start names this start of it. @param started time of the start.
  QuotaCounter(NodeKey self, std::uint32_t start, net::SteadyTime started)
      : self(self), start(start), started(started) {}

  /// Sets the quotas in force by key of the customer. Forgets customers without a quota.
  void SetQuotas(std::unordered_map<std::uint32_t, Quota> quotas, net::SteadyTime now);

  /// Answers a node. @param nodes the listed nodes. @return a reply without answers if none is
  /// wanted.
  [[nodiscard]] QuotaReply Handle(const QuotaRequest& request, const CountingNodes& nodes,
                                  net::SteadyTime now);

  /// Returns the notices to nodes that admit requests of a customer without asking, which has come
  /// near its quota. Notices are repeated until the node has confirmed them or asks.
  [[nodiscard]] std::vector<std::pair<NodeKey, QuotaReply>> DueNotices(net::SteadyTime now);

  /// Records that the process did not run for a while: other nodes counted meanwhile, and what they
  /// admitted is told here again only after some time.
  void NoteStall(net::SteadyTime now);

  /// Makes the announcement of a counting node that has started: it knows nothing yet, so all nodes
  /// have to ask it.
  [[nodiscard]] QuotaReply Announcement() const { return {this->self, this->start, 0, {}}; }

  /// Number of customers that are counted here.
  [[nodiscard]] std::size_t CountedCustomers() const { return this->counts.size(); }

 private:
  struct Reporter {
    std::uint32_t start = 0;
    std::uint64_t sequence = 0;
    std::int64_t known = 0;  ///< requests of the node that have been charged
    double demand = 0;       ///< decaying count of requests
    double promised = 0;     ///< share of the quota that the node was told last
    bool is_free = false;
    net::SteadyTime heard;
    net::SteadyTime last_demand;
  };
  struct Count {
    QuotaWindow window;
    bool is_near = false;
    net::SteadyTime near_since;
    net::SteadyTime next_notice;
    int notices_left = 0;
    double reserved = 0;  ///< share of the rate
    double demand = 0;    ///< decaying count of requests of all nodes
    net::SteadyTime reviewed;
    net::SteadyTime next_room;             ///< when the next refused caller is to come back
    std::deque<net::SteadyTime> releases;  ///< when refused nodes are to ask again
    std::map<NodeKey, Reporter> reporters;
  };

  /// Lets all nodes ask about a customer, as its requests of the last seconds may be unknown.
  static void BeginYoung(Count& count, std::chrono::milliseconds time, double first,
                         net::SteadyTime now);
  [[nodiscard]] Count& CountOf(std::uint32_t customer, const Quota& quota,
                               const CountingNodes& nodes, net::SteadyTime now);
  /// Updates the demands and what is reserved for silent nodes.
  static void Review(Count& count, std::size_t nodes, net::SteadyTime now);
  void Answer(const QuotaRequest& request, const QuotaAsk& ask, const CountingNodes& nodes,
              net::SteadyTime now, QuotaReply& reply);
  static void ChargeReport(Count& count, Reporter& reporter, bool is_new,
                           const QuotaRequest& request, const QuotaAsk& ask, net::SteadyTime now);
  static void UpdateNear(Count& count, net::SteadyTime now);
  /// Returns how long a node refuses requests itself after a refusal.
  [[nodiscard]] static std::chrono::milliseconds HoldOf(Count& count, net::SteadyTime now);
  [[nodiscard]] static std::chrono::milliseconds RetryAfter(Count& count, int refused,
                                                            net::SteadyTime now);

  NodeKey self;
  std::uint32_t start;
  net::SteadyTime started;
  std::unordered_map<std::uint32_t, Quota> quotas;
  std::map<std::uint32_t, Count> counts;
};

}  // namespace lentilhead::customers
