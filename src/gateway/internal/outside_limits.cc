#include "gateway/outside_limits.h"

#include <algorithm>

namespace lentilhead::gateway {

namespace {

// Nodes hear of each limit again within a few seconds, though messages are lost and have few of
// them.
constexpr std::chrono::milliseconds kLifetime{10000};
// A limit has spread to most nodes by then; doubled each time while this goes on.
constexpr std::chrono::milliseconds kMinPause{2000};
constexpr std::chrono::milliseconds kMaxPause{8000};

/// Reduces a list to a part of it, which begins at an index and goes round.
void TakePart(std::vector<OutsideLimit>& facts, std::size_t first, std::size_t most) {
  if (facts.size() > most) {
    const auto begin = static_cast<std::ptrdiff_t>(first % facts.size());
    std::rotate(facts.begin(), facts.begin() + begin, facts.end());
    facts.resize(most);
  }
}

}  // namespace

void OutsideLimits::RecordAnswer(std::uint32_t incarnation, const LimitNotice& notice,
                                 net::SteadyTime now) {
  if (std::holds_alternative<LimitNamed>(notice)) {
    if (!this->IsLimited(incarnation, now)) {
      const bool goes_on = now - this->paused_until < kMaxPause;
      this->pause = goes_on ? std::clamp(2 * this->pause, kMinPause, kMaxPause) : kMinPause;
      this->paused_until = now + this->pause;
    }
    this->known_at[incarnation] = now;
  } else if (std::holds_alternative<NoLimitNamed>(notice)) {
    this->known_at.erase(incarnation);
  }
}

void OutsideLimits::Merge(const std::vector<OutsideLimit>& facts, net::SteadyTime now) {
  for (const OutsideLimit& fact : facts) {
    if (fact.age < kLifetime) {
      net::SteadyTime& known = this->known_at[fact.incarnation];
      known = std::max(known, now - fact.age);
    }
  }
}

bool OutsideLimits::IsLimited(std::uint32_t incarnation, net::SteadyTime now) const {
  const auto found = this->known_at.find(incarnation);
  return found != this->known_at.end() && now - found->second < kLifetime;
}

std::vector<OutsideLimit> OutsideLimits::Facts(const std::vector<std::uint32_t>& own,
                                               std::size_t first, net::SteadyTime now) const {
  std::vector<OutsideLimit> facts;
  facts.reserve(own.size());
  for (const std::uint32_t incarnation : own) {
    facts.push_back({incarnation, std::chrono::milliseconds(0)});
  }
  TakePart(facts, first, kMaxFacts);
  std::vector<OutsideLimit> others;
  for (const auto& [incarnation, known] : this->known_at) {
    if (now - known < kLifetime) {
      others.push_back({incarnation, net::ToMilliseconds(now - known)});
    }
  }
  TakePart(others, first, kMaxFacts - facts.size());
  facts.insert(facts.end(), others.begin(), others.end());
  return facts;
}

void OutsideLimits::Prune(net::SteadyTime now) {
  std::erase_if(this->known_at, [&](const auto& item) { return now - item.second >= kLifetime; });
}

}  // namespace lentilhead::gateway
