#include "admission/growth_estimate.h"

#include <algorithm>
#include <utility>

namespace lentilhead::admission {

namespace {

// A message period of a group of 16 nodes and its delay.
constexpr std::chrono::milliseconds kNewsTime{130};
// Variance of a node's growth in that time, by random arrivals: a part for each slot in use, which
// is held for about 700 ms, and a part for a node that uses none.
constexpr double kVariancePerSlot = 0.4;
constexpr double kMinVariance = 1;
constexpr double kCertainty = 2;  // variances by which growth is reduced

}  // namespace

void GrowthEstimate::Record(int own, net::SteadyTime now) {
  this->uses.push_back({now, own});
  while (this->uses.size() > 1 && now - this->uses[1].since >= kNewsTime) {
    this->uses.pop_front();
  }
}

double GrowthEstimate::GrowthSince(int before, double variance) const {
  const double growth = this->uses.back().own - before;
  return growth <= 0 ? 0 : std::max(0.0, growth - kCertainty * variance / growth);
}

double GrowthEstimate::Unseen(std::size_t nodes, net::SteadyTime now, bool is_filling) const {
  if (nodes <= 1 || this->uses.empty()) {
    return 0;
  }
  int before = 0;
  double growth = 0;
  bool is_whole_span = true;
  const auto variance = [](int slots) { return kMinVariance + kVariancePerSlot * slots; };
  for (const Use& use : this->uses) {
    if (now - use.since >= kNewsTime) {
      before = use.own;
      continue;
    }
    if (std::exchange(is_whole_span, false)) {
      growth = this->GrowthSince(before, variance(before));
    }
    if (!is_filling) {
      break;
    }
    const double part = std::chrono::duration<double>(now - use.since) / kNewsTime;
    growth = std::max(growth, this->GrowthSince(before, kMinVariance + part * variance(before)));
    before = use.own;
  }
  return growth * static_cast<double>(nodes - 1);
}

}  // namespace lentilhead::admission
