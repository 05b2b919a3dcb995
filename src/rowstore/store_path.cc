#include "rowstore/store_path.h"

namespace lentilhead::rowstore {

namespace {

constexpr int kFailuresToLeave = 2;                    // a single reset connection is no outage
constexpr std::chrono::milliseconds kTryPeriod{1000};  // refused calls cost the store as well

}  // namespace

void StorePath::Note(PathEvidence evidence, net::SteadyTime now) {
  switch (evidence) {
    case PathEvidence::kServed:
      this->failures = 0;
      return;
    case PathEvidence::kTurnedAway:
      ++this->failures;
      break;
    case PathEvidence::kSilent:
      this->failures += kFailuresToLeave;
      break;
  }
  this->next_try = now + kTryPeriod;
}

bool StorePath::TryDirect(net::SteadyTime now) {
  if (this->failures < kFailuresToLeave) {
    return true;
  }
  if (now < this->next_try) {
    return false;
  }
  this->next_try = now + kTryPeriod;
  return true;
}

}  // namespace lentilhead::rowstore
