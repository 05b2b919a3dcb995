#pragma once

#include <glib.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <variant>

#include "framework/internal/main_context_clock.h"
#include "framework/internal/manual_clock.h"
#include "framework/timer_subscription.h"
#include "framework/types/time_types.h"

namespace lentilhead::framework {

/// Source of time and of timed callbacks for one task.
///
/// A task creates one service and every part of it subscribes to that service. The service is not
/// thread safe: callbacks run on the thread that owns it.
class TimerService {
 public:
  using Callback = std::function<void()>;

  /// Creates a service that follows the machine's clocks and fires on a GLib main context.
  /// @param context main context of the owning task; not null.
  static std::unique_ptr<TimerService> OnMainContext(GMainContext* context);

  /// Creates a service whose time moves only by AdvanceBy().
  static std::unique_ptr<TimerService> Manual();

  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;
  ~TimerService();

  /// Monotonic time, for intervals, leases and deadlines.
  [[nodiscard]] MonotonicTime Now() const;

  /// Wall time, for times that are stored or shown.
  [[nodiscard]] WallTime WallNow() const;

  /// Calls back once, `delay` from now.
  /// @return subscription that cancels the callback when it is destroyed.
  [[nodiscard]] TimerSubscription After(std::chrono::nanoseconds delay, Callback callback);

  /// Calls back every `period`, first after one period.
  /// @return subscription that cancels the callback when it is destroyed.
  [[nodiscard]] TimerSubscription Every(std::chrono::nanoseconds period, Callback callback);

  /// Moves a manual clock and runs the callbacks that fall due, in order of their times.
  /// Has no effect on a service that follows the machine's clocks.
  void AdvanceBy(std::chrono::nanoseconds step);

 private:
  friend class TimerSubscription;

  struct Entry {
    std::chrono::nanoseconds period{0};
    Callback callback;
  };

  using Key = std::pair<MonotonicTime, std::uint64_t>;

  explicit TimerService(std::variant<internal::MainContextClock, internal::ManualClock> clock);

  [[nodiscard]] TimerSubscription Add(std::chrono::nanoseconds delay,
                                      std::chrono::nanoseconds period, Callback callback);
  void Cancel(std::uint64_t id);
  void RunDue(MonotonicTime now);
  void Rearm();

  std::variant<internal::MainContextClock, internal::ManualClock> clock;
  std::map<Key, Entry> entries;
  std::map<std::uint64_t, MonotonicTime> due_times;
  std::uint64_t next_id = 1;
  std::shared_ptr<TimerService*> self;
};

}  // namespace lentilhead::framework
