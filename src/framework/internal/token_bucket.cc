#include "framework/token_bucket.h"

#include <algorithm>

namespace lentilhead::framework {

TokenBucket::TokenBucket(double rate, double capacity)
    : rate(rate), capacity(capacity), level(capacity) {}

bool TokenBucket::TryTake(MonotonicTime now, double tokens) {
  this->Refill(now);
  if (this->level < tokens) {
    return false;
  }
  this->level -= tokens;
  return true;
}

std::chrono::nanoseconds TokenBucket::TimeUntil(MonotonicTime now, double tokens) {
  this->Refill(now);
  if (this->level >= tokens) {
    return std::chrono::nanoseconds(0);
  }
  const std::chrono::duration<double> wait((tokens - this->level) / this->rate);
  return std::chrono::ceil<std::chrono::nanoseconds>(wait);
}

double TokenBucket::Available(MonotonicTime now) {
  this->Refill(now);
  return this->level;
}

void TokenBucket::Refill(MonotonicTime now) {
  if (!this->started) {
    this->started = true;
    this->refilled = now;
    return;
  }
  if (now <= this->refilled) {
    return;
  }
  const double seconds = std::chrono::duration<double>(now - this->refilled).count();
  this->level = std::min(this->capacity, this->level + seconds * this->rate);
  this->refilled = now;
}

}  // namespace lentilhead::framework
