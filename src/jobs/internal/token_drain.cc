#include "jobs/token_drain.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace lentilhead::jobs {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::duration<double> kHalfLife{4.0};
constexpr milliseconds kMinRetryAfter{400};
constexpr milliseconds kMaxRetryAfter{15000};
constexpr double kSpread =
    0.5;  // share of the delay, so that refused callers do not return together

}  // namespace

void TokenDrain::Add(std::int64_t tokens, net::SteadyTime now) {
  const std::chrono::duration<double> age = now - this->last;
  this->decayed = this->decayed * std::exp2(-age / kHalfLife) + static_cast<double>(tokens);
  this->last = now;
}

double TokenDrain::TokensPerSecond(net::SteadyTime now) const {
  const std::chrono::duration<double> age = now - this->last;
  return this->decayed * std::exp2(-age / kHalfLife) * std::numbers::ln2 / kHalfLife.count();
}

milliseconds TokenDrain::RetryAfter(std::int64_t excess, double draw, net::SteadyTime now) const {
  const double rate = this->TokensPerSecond(now);
  const double limit_ms = static_cast<double>(kMaxRetryAfter.count());
  const double wait_ms = rate > 0 ? 1000.0 * static_cast<double>(excess) / rate : limit_ms;
  const double bounded = std::clamp(wait_ms, static_cast<double>(kMinRetryAfter.count()), limit_ms);
  return milliseconds(static_cast<std::int64_t>(bounded * (1 + kSpread * draw)));
}

}  // namespace lentilhead::jobs
