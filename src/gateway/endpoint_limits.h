#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/fleet_demand.h"
#include "gateway/shared_limit.h"
#include "gateway/types/limit_change.h"
#include "gateway/types/limit_notice.h"
#include "gateway/types/limit_report.h"
#include "gateway/types/work_class.h"

namespace lentilhead::gateway {

/// Keeps the limits that endpoints name on the requests of all nodes together.
///
/// A limit may be far below one request per node and second, so that equal shares would lie idle at
/// most nodes. Instead each node may take what is left in the SharedLimit of the endpoint, with a
/// probability at which all nodes that have requests in the same moment together take most of it on
/// average. A node that does not hear the others takes only the share of the limit that it had
/// before, and the others leave that share to it.
///
/// Reads no clock and does no I/O.
class EndpointLimits {
 public:
  /// Which endpoints a report contains.
  enum class Scope {
    kChanges,  ///< what changed since the last report was taken
    kRecent,   ///< also what changed in the last seconds, because messages are lost
    kAll,      ///< for a peer that knows nothing
  };

  /// An endpoint whose limit changed, by its incarnation.
  using Change = std::pair<std::uint32_t, LimitChange>;

  /// @param seed makes the draws of this node differ from those of others.
  explicit EndpointLimits(std::uint32_t seed) : seed(seed) {}

  /// Sets the function that is called when peers are to hear soon of what an answer told this node.
  void OnNews(std::function<void()> callback) { this->on_news = std::move(callback); }

  /// Sets the time within which nodes hear of each other's requests.
  void SetNewsDelay(std::chrono::milliseconds delay);

  /// Sets the number of groups of nodes that use an endpoint; they don't hear of each other's
  /// requests.
  /// @param incarnation of the endpoint.
  void SetSharedBy(std::uint32_t incarnation, int groups) { this->shared_by[incarnation] = groups; }

  /// Forgets an endpoint that is gone.
  void Forget(std::uint32_t incarnation);

  /// Records an answer of an endpoint to this node.
  /// @param notice what the answer says of a limit.
  /// @param sent_at time at which the request was sent.
  LimitChange RecordAnswer(std::uint32_t incarnation, const LimitNotice& notice,
                           net::SteadyTime sent_at, net::SteadyTime now);

  /// Records that a request is sent to an endpoint.
  void RecordSent(std::uint32_t incarnation, net::SteadyTime now);

  /// What this node and its peers have to send.
  [[nodiscard]] FleetDemand& Demand() { return this->demand; }

  /// Whether an endpoint names a limit.
  [[nodiscard]] bool IsLimited(std::uint32_t incarnation) const;

  /// Whether this node may send a request to an endpoint now. Batch requests leave a part of the
  /// limit to the next online requests.
  /// @param service key of the name of its service.
  [[nodiscard]] bool MaySend(std::uint32_t incarnation, std::uint32_t service, WorkClass work,
                             net::SteadyTime now) const;

  /// Online requests per second that this node may send to an endpoint in the long run.
  /// @param service key of the name of its service.
  /// @return no value if the endpoint names no limit.
  [[nodiscard]] std::optional<double> OwnRate(std::uint32_t incarnation, std::uint32_t service,
                                              net::SteadyTime now) const;

  /// What this node tells its peers. Empty while no limit is known.
  [[nodiscard]] LimitReport Report(Scope scope, net::SteadyTime now) const;

  /// Records that a report was sent to all peers.
  void NoteReportSent(net::SteadyTime now) { this->reported_at = now; }

  /// Adds the report of a peer, which may be empty.
  /// @param peer its name. @param start name of its incarnation. @param is_leaving it is shutting
  /// down.
  /// @return the changes that follow from it.
  std::vector<Change> Merge(const std::string& peer, const std::string& start, bool is_leaving,
                            const LimitReport& report, net::SteadyTime now);

  /// Ends limits that are named no more, and forgets what no longer matters.
  /// @return the limits that ended.
  std::vector<Change> Prune(net::SteadyTime now);

  /// Incarnations of the endpoints that name a limit.
  [[nodiscard]] std::vector<std::uint32_t> Limited() const;

  /// Number of endpoints that name a limit.
  [[nodiscard]] std::size_t LimitedCount() const;

  /// Requests per second that an endpoint takes; 0 if it names no limit.
  [[nodiscard]] double LimitOf(std::uint32_t incarnation) const;

 private:
  /// A limit and what this node did in the current period.
  struct Entry {
    SharedLimit limit;
    std::uint64_t period = 0;  ///< of `taken`
    int taken = 0;             ///< requests of this node in that period
  };
  LimitChange RecordNamed(std::uint32_t incarnation, double limit, net::SteadyTime sent_at,
                          net::SteadyTime now);
  LimitChange RecordUnnamed(std::uint32_t incarnation, net::SteadyTime sent_at,
                            net::SteadyTime now);
  void TellNews() const;
  [[nodiscard]] const SharedLimit* Find(std::uint32_t incarnation) const;
  [[nodiscard]] std::uint64_t PeriodAt(net::SteadyTime now) const;
  Entry& EntryOf(std::uint32_t incarnation, net::SteadyTime now);
  void UpdateShares(net::SteadyTime now);
  /// Number of groups that use an endpoint.
  [[nodiscard]] int SharedBy(std::uint32_t incarnation) const;

  std::uint32_t seed;
  std::function<void()> on_news;
  std::chrono::milliseconds period{50};
  std::map<std::uint32_t, Entry> entries;  ///< by incarnation of the endpoint
  std::map<std::uint32_t, int> shared_by;  ///< by incarnation; 1 for others
  FleetDemand demand;
  net::SteadyTime reported_at;
};

}  // namespace lentilhead::gateway
