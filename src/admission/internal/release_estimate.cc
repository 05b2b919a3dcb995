#include "admission/release_estimate.h"

#include <algorithm>

namespace lentilhead::admission {

namespace {

using std::chrono::milliseconds;

// A request that has held its slot for less than this part of the mean hold time seldom ends soon.
constexpr int kYoungDivisor = 2;
constexpr milliseconds kMaxYoung{1000};    // bounds what is kept where requests take long
constexpr milliseconds kMinSampleGap{10};  // bounds the number of samples

}  // namespace

void ReleaseEstimate::Record(double in_use, net::SteadyTime now) {
  if (!this->uses.empty() && now - this->uses.back().since < kMinSampleGap) {
    // The lowest use counts: a slot that was free in between was not held throughout.
    this->uses.back().in_use = std::min(this->uses.back().in_use, in_use);
    return;
  }
  this->uses.push_back({now, in_use});
  while (this->uses.size() > 1 && now - this->uses[1].since >= kMaxYoung) {
    this->uses.pop_front();
  }
}

double ReleaseEstimate::Established(milliseconds hold, net::SteadyTime now) const {
  const milliseconds young = std::min(hold / kYoungDivisor, kMaxYoung);
  double established = 0;  // before the first record nothing was in use
  for (const Use& use : this->uses) {
    if (now - use.since < young) {
      break;
    }
    established = use.in_use;
  }
  return established;
}

}  // namespace lentilhead::admission
