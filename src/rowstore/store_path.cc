#include "rowstore/store_path.h"

namespace lentilhead::rowstore {

namespace {

constexpr int kFailuresBeforeRelay = 2;  // a single reset connection is no outage
// While the store refuses this node, one direct call per period: each costs the store work.
constexpr std::chrono::milliseconds kDirectTryPeriod{1000};

}  // namespace

void StorePath::Note(PathOutcome outcome, net::SteadyTime now) {
  switch (outcome) {
    case PathOutcome::kAnswered:
      this->failures = 0;
      return;
    case PathOutcome::kRefused:
      ++this->failures;
      break;
    case PathOutcome::kSilent:
      this->failures += kFailuresBeforeRelay;
      break;
  }
  this->next_direct_try = now + kDirectTryPeriod;
}

bool StorePath::ShouldTryDirect(net::SteadyTime now) {
  if (this->failures < kFailuresBeforeRelay) {
    return true;
  }
  if (now < this->next_direct_try) {
    return false;
  }
  this->next_direct_try = now + kDirectTryPeriod;
  return true;
}

}  // namespace lentilhead::rowstore
