#include "admission/served_shares.h"

namespace lentilhead::admission {

namespace {

// No class may be served less than a quarter as often as all; the difference leaves room for the
// delay until a slot is free.
constexpr double kMinRelativeShare = 0.27;
constexpr double kMinAsked = 3;  // below that a share says little
constexpr double kForgottenCount = 0.01;
constexpr std::chrono::milliseconds kPrunePeriod{2000};

}  // namespace

void ServedShares::RecordAsked(std::int64_t of_class, net::SteadyTime now) {
  this->Prune(now);
  this->classes[of_class].asked.Add(now);
  this->all.asked.Add(now);
}

void ServedShares::RecordServed(std::int64_t of_class, net::SteadyTime now) {
  this->classes[of_class].served.Add(now);
  this->all.served.Add(now);
}

bool ServedShares::IsStarved(std::int64_t of_class, net::SteadyTime now) const {
  const auto found = this->classes.find(of_class);
  if (found == this->classes.end()) {
    return false;
  }
  const double asked = found->second.asked.At(now);
  const double all_asked = this->all.asked.At(now);
  return asked >= kMinAsked && found->second.served.At(now) * all_asked <
                                   kMinRelativeShare * this->all.served.At(now) * asked;
}

void ServedShares::Prune(net::SteadyTime now) {
  if (now - this->pruned < kPrunePeriod) {
    return;
  }
  this->pruned = now;
  std::erase_if(this->classes,
                [&](const auto& item) { return item.second.asked.At(now) < kForgottenCount; });
}

}  // namespace lentilhead::admission
