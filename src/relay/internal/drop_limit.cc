#include "relay/drop_limit.h"

#include <algorithm>

namespace lentilhead::relay {

namespace {

using std::chrono::milliseconds;

// As long as an endpoint counts as unsound after contradictions that turned out to be none.
constexpr milliseconds kDropMemory{10000};
// A single drop tells little of how late others are on a busy machine.
constexpr int kMargin = 2;
// A loss after more time is one of an endpoint that ended while it worked on the request.
constexpr milliseconds kMaxDropTime = DropLimit::kMax / 2;

}  // namespace

void DropLimit::RecordDrop(milliseconds after, net::SteadyTime now) {
  if (after > kMaxDropTime) {
    return;
  }
  this->longest = this->IsForgotten(now) ? after : std::max(this->longest, after);
  this->dropped_at = now;
}

bool DropLimit::IsForgotten(net::SteadyTime now) const {
  return this->dropped_at == net::SteadyTime{} || now - this->dropped_at > kDropMemory;
}

milliseconds DropLimit::Current(net::SteadyTime now) const {
  return this->IsForgotten(now) ? kMin : std::clamp(kMargin * this->longest, kMinAfterDrop, kMax);
}

}  // namespace lentilhead::relay
