#pragma once

#include <map>
#include <tuple>

#include "placement/log_histogram.h"
#include "placement/types/cost_query.h"
#include "placement/types/request_cost.h"

namespace lentilhead::placement {

/// Estimates the cost of requests before they run, from earlier ones.
///
/// What is learned is the ratio of the true length to what the request states, by route and
/// customer. A pair with few recent requests uses the route's distribution, in which a customer
/// counts less the more it sends, and a new route uses what the request states. Reads no clock.
class CostEstimator {
 public:
  /// Length of the longest list of distributions that is kept; each takes 200 bytes.
  static constexpr std::size_t kMaxDistributions = 4096;

  /// Estimates the cost of a request.
  [[nodiscard]] RequestCost Estimate(const CostQuery& query, net::SteadyTime now) const;

  /// Records a request that ended by itself. @param units its length.
  void RecordEnd(const CostQuery& query, double units, net::SteadyTime now);

  /// Records a request that was cut or failed. @param units length until then, at least.
  void RecordCut(const CostQuery& query, double units, net::SteadyTime now);

  /// Number of distributions that are kept.
  [[nodiscard]] std::size_t Distributions() const { return this->distributions.size(); }

  /// Ratios of predicted to true lengths of the requests that ended.
  [[nodiscard]] const LogHistogram& Errors() const { return this->errors; }

 private:
  /// Names a distribution: a route, a customer or 0 for all, and what its ratios refer to.
  using Key = std::tuple<std::uint64_t, std::uint64_t, int>;

  [[nodiscard]] static Key KeyOf(const CostQuery& query, bool of_customer);
  [[nodiscard]] const LogHistogram* Find(const CostQuery& query, net::SteadyTime now) const;
  /// @return null if there is no room for a new distribution.
  LogHistogram* FindOrAdd(const Key& key, net::SteadyTime now);
  template <typename Action>
  void Record(const CostQuery& query, net::SteadyTime now, Action add);

  std::map<Key, LogHistogram> distributions;
  LogHistogram errors{std::chrono::milliseconds(60000)};
};

}  // namespace lentilhead::placement
