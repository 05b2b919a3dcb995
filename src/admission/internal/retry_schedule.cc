#include "admission/retry_schedule.h"

#include <algorithm>

namespace lentilhead::admission {

namespace {

using std::chrono::milliseconds;

constexpr double kFull = 0.97;
// A service that is not full for longer than this has capacity again.
constexpr milliseconds kFullGap{200};
// Shorter full periods are the random variation of a well used service.
constexpr milliseconds kMinFullPeriod{500};
constexpr std::size_t kMaxPeriods = 8;
// Part of the starts that returning callers may take; the others are for new requests.
constexpr double kReturnShare = 0.5;
constexpr double kMinRate = 0.5;  // per second
constexpr std::size_t kMaxCustomers = 1024;

}  // namespace

void RetrySchedule::EndFullPeriod(net::SteadyTime end) {
  const milliseconds length = net::ToMilliseconds(end - *this->full_since);
  this->full_since.reset();
  if (length < kMinFullPeriod) {
    return;
  }
  this->full_periods.push_back(length);
  if (this->full_periods.size() > kMaxPeriods) {
    this->full_periods.pop_front();
  }
}

void RetrySchedule::Observe(double occupancy, net::SteadyTime now) {
  if (this->full_since && now - this->last_full > kFullGap) {
    this->EndFullPeriod(this->last_full);
  }
  if (occupancy < kFull) {
    return;
  }
  if (!this->full_since) {
    this->full_since = now;
  }
  this->last_full = now;
}

milliseconds RetrySchedule::ExpectedFullTime(net::SteadyTime now) const {
  if (!this->full_since || now - this->last_full > kFullGap) {
    return milliseconds(0);
  }
  const milliseconds lasted = net::ToMilliseconds(now - *this->full_since);
  milliseconds sum{0};
  int longer = 0;
  for (const milliseconds length : this->full_periods) {
    if (length > lasted) {
      sum += length - lasted;
      ++longer;
    }
  }
  return longer == 0 ? milliseconds(0) : sum / longer;
}

milliseconds RetrySchedule::NextDelay(std::uint32_t customer, double starts_per_second,
                                      milliseconds longest, net::SteadyTime now) {
  if (this->next_return.size() >= kMaxCustomers) {
    std::erase_if(this->next_return, [&](const auto& item) { return item.second < now; });
  }
  const net::SteadyTime earliest = customer == 0 ? now + this->ExpectedFullTime(now) : now;
  const std::chrono::duration<double> step(1 /
                                           std::max(kMinRate, kReturnShare * starts_per_second));
  net::SteadyTime& next = this->next_return[customer];
  next = std::max(next, earliest);
  const milliseconds delay = net::ToMilliseconds(next - now);
  if (delay > longest) {
    return std::max(milliseconds(0), longest);  // not scheduled: there is no time left for it
  }
  next += std::chrono::duration_cast<net::SteadyTime::duration>(step);
  return delay;
}

}  // namespace lentilhead::admission
