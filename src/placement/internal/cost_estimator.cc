#include "placement/cost_estimator.h"

#include <algorithm>

namespace lentilhead::placement {

namespace {

// After a sudden change of costs, half of the weight is new after 3 s, and nine tenths after 10 s.
constexpr std::chrono::milliseconds kHalfLife{3000};
constexpr double kTokensPerEvent = 12;
constexpr double kMinWeight = 6;        // a distribution with less is not used
constexpr double kDefaultPrompt = 450;  // tokens; most prompts are about as long
constexpr double kDefaultEvents = 16;   // of a stream that states nothing
constexpr double kShareOfMost = 0.5;    // most outputs end long before the limit
constexpr double kPriorHigh = 3;        // 90th percentile over the mean, before anything is known
constexpr double kHighShare = 0.9;
// A customer with more recent requests than this counts no more in the route's distribution.
constexpr double kFullWeight = 8;
constexpr double kForgotten = 0.01;  // weight below which a distribution makes room for a new one

/// What the learned ratios refer to.
enum Reference { kHint, kMost, kNothing, kAnswer };

Reference ReferenceOf(const CostQuery& query) {
  if (!query.is_stream) {
    return kAnswer;
  }
  if (query.stated.length_hint.value_or(0) > 0) {
    return kHint;
  }
  return query.stated.most_output_tokens.value_or(0) > 0 ? kMost : kNothing;
}

/// Length in units that a request is expected to have by what it states.
double StatedUnits(const CostQuery& query) {
  switch (ReferenceOf(query)) {
    case kHint:
      return std::max(1.0, *query.stated.length_hint / kTokensPerEvent);
    case kMost:
      return std::max(1.0, kShareOfMost * *query.stated.most_output_tokens / kTokensPerEvent);
    case kNothing:
      return kDefaultEvents;
    case kAnswer:
      break;
  }
  return 1;
}

}  // namespace

CostEstimator::Key CostEstimator::KeyOf(const CostQuery& query, bool of_customer) {
  return {query.route, of_customer ? query.customer : 0, ReferenceOf(query)};
}

const LogHistogram* CostEstimator::Find(const CostQuery& query, net::SteadyTime now) const {
  for (const bool of_customer : {true, false}) {
    const auto found = this->distributions.find(KeyOf(query, of_customer));
    if (found != this->distributions.end() && found->second.Weight(now) >= kMinWeight) {
      return &found->second;
    }
  }
  return nullptr;
}

RequestCost CostEstimator::Estimate(const CostQuery& query, net::SteadyTime now) const {
  RequestCost cost;
  const double stated = StatedUnits(query);
  const LogHistogram* ratios = this->Find(query, now);
  cost.units = stated * (ratios == nullptr ? 1 : ratios->Mean());
  cost.units_high = stated * (ratios == nullptr ? (query.is_stream ? kPriorHigh : 1)
                                                : ratios->Quantile(kHighShare));
  if (query.is_stream && query.stated.most_output_tokens.value_or(0) > 0) {
    const double most = std::max(1.0, *query.stated.most_output_tokens / kTokensPerEvent);
    cost.units = std::min(cost.units, most);
    cost.units_high = std::min(cost.units_high, most);
  }
  cost.units_high = std::max(cost.units, cost.units_high);
  cost.first_units = query.is_stream ? 1 : cost.units;
  cost.shared = query.stated.shared;
  if (query.is_stream) {
    cost.prompt_tokens = std::max(0, query.stated.prompt_tokens.value_or(kDefaultPrompt));
    cost.memory_tokens = cost.prompt_tokens + cost.units_high * kTokensPerEvent;
  }
  return cost;
}

LogHistogram* CostEstimator::FindOrAdd(const Key& key, net::SteadyTime now) {
  const auto found = this->distributions.find(key);
  if (found != this->distributions.end()) {
    return &found->second;
  }
  if (this->distributions.size() >= kMaxDistributions) {
    std::erase_if(this->distributions,
                  [&](const auto& item) { return item.second.Weight(now) < kForgotten; });
  }
  if (this->distributions.size() >= kMaxDistributions) {
    return nullptr;
  }
  return &this->distributions.emplace(key, LogHistogram(kHalfLife)).first->second;
}

template <typename Action>
void CostEstimator::Record(const CostQuery& query, net::SteadyTime now, Action add) {
  double weight = 1;
  if (query.customer != 0) {
    if (LogHistogram* own = this->FindOrAdd(KeyOf(query, true), now)) {
      weight = 1 / std::max(1.0, own->Weight(now) / kFullWeight);
      add(*own, 1.0);
    }
  }
  if (LogHistogram* all = this->FindOrAdd(KeyOf(query, false), now)) {
    add(*all, weight);
  }
}

void CostEstimator::RecordEnd(const CostQuery& query, double units, net::SteadyTime now) {
  const double length = std::max(units, 0.01);
  this->errors.Add(this->Estimate(query, now).units / length, 1, now);
  const double ratio = length / StatedUnits(query);
  this->Record(query, now,
               [&](LogHistogram& ratios, double weight) { ratios.Add(ratio, weight, now); });
}

void CostEstimator::RecordCut(const CostQuery& query, double units, net::SteadyTime now) {
  const double ratio = std::max(units, 0.01) / StatedUnits(query);
  this->Record(query, now,
               [&](LogHistogram& ratios, double weight) { ratios.AddAtLeast(ratio, weight, now); });
}

}  // namespace lentilhead::placement
