#include "jobs/token_drain.h"

#include <algorithm>
#include <numbers>

namespace lentilhead::jobs {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinRetryAfter{400};
constexpr milliseconds kMaxRetryAfter{15000};
constexpr double kSpread =
    0.5;  // share of the delay, so that refused callers do not return together

}  // namespace

void TokenDrain::Add(std::int64_t tokens, net::SteadyTime now) {
  this->completed.Add(now, static_cast<double>(tokens));
}

double TokenDrain::TokensPerSecond(net::SteadyTime now) const {
  return this->completed.At(now) * std::numbers::ln2 /
         std::chrono::duration<double>(kHalfLife).count();
}

milliseconds TokenDrain::RetryAfter(std::int64_t excess, double draw, net::SteadyTime now) const {
  const double rate = this->TokensPerSecond(now);
  const double limit_ms = static_cast<double>(kMaxRetryAfter.count());
  const double wait_ms = rate > 0 ? 1000.0 * static_cast<double>(excess) / rate : limit_ms;
  const double bounded = std::clamp(wait_ms, static_cast<double>(kMinRetryAfter.count()), limit_ms);
  return milliseconds(static_cast<std::int64_t>(bounded * (1 + kSpread * draw)));
}

}  // namespace lentilhead::jobs
