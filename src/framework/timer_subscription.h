#pragma once

#include <cstdint>
#include <memory>

namespace lentilhead::framework {

class TimerService;

/// Owns one timed callback and cancels it on destruction.
class TimerSubscription {
 public:
  TimerSubscription() = default;
  TimerSubscription(std::weak_ptr<TimerService*> service, std::uint64_t id);
  TimerSubscription(TimerSubscription&& other) noexcept;
  TimerSubscription& operator=(TimerSubscription&& other) noexcept;
  TimerSubscription(const TimerSubscription&) = delete;
  TimerSubscription& operator=(const TimerSubscription&) = delete;
  ~TimerSubscription();

  /// Cancels the callback if it is still pending.
  void Cancel();

 private:
  std::weak_ptr<TimerService*> service;
  std::uint64_t id = 0;
};

}  // namespace lentilhead::framework
