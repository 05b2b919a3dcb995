#include "gateway/outcome_watch.h"

#include <algorithm>
#include <utility>

namespace lentilhead::gateway {

void OutcomeWatch::Record(bool is_served, std::string_view reason) {
  if (is_served) {
    ++this->served;
    return;
  }
  ++this->unserved;
  ++this->reasons.try_emplace(std::string(reason), 0).first->second;
}

std::optional<OutcomeChange> OutcomeWatch::EndPeriod() {
  OutcomeChange period;
  period.served = std::exchange(this->served, 0);
  period.unserved = std::exchange(this->unserved, 0);
  period.is_serving = period.served >= period.unserved;
  const auto reasons = std::exchange(this->reasons, {});
  ++this->periods_since_told;
  if (period.served + period.unserved < kMinRequests) {
    return std::nullopt;
  }
  const bool is_repeat = !period.is_serving && this->periods_since_told >= kRepeatPeriods;
  if (period.is_serving == this->is_serving && !is_repeat) {
    return std::nullopt;
  }
  if (!reasons.empty()) {
    period.reason = std::ranges::max_element(reasons, {}, [](const auto& counted) {
                      return counted.second;
                    })->first;
  }
  this->is_serving = period.is_serving;
  this->periods_since_told = 0;
  return period;
}

}  // namespace lentilhead::gateway
