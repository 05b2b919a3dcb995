#include "sheet/window_time.h"

namespace lentilhead::sheet {

using std::chrono::nanoseconds;

namespace {

constexpr nanoseconds kDay = std::chrono::hours(24);

nanoseconds TimeOfDay(framework::WallTime now) {
  const nanoseconds since_epoch = now.time_since_epoch();
  return ((since_epoch % kDay) + kDay) % kDay;
}

/// Time from one time of day to the next occurrence of another; zero if they are equal.
nanoseconds Until(nanoseconds from, nanoseconds target) { return (target - from + kDay) % kDay; }

bool IsWholeDay(const Window& window) { return Until(window.start, window.end).count() == 0; }

}  // namespace

bool IsActive(const Window& window, framework::WallTime now) {
  if (IsWholeDay(window)) {
    return true;
  }
  return Until(window.start, TimeOfDay(now)) < Until(window.start, window.end);
}

nanoseconds TimeUntilStart(const Window& window, framework::WallTime now) {
  return IsActive(window, now) ? nanoseconds(0) : Until(TimeOfDay(now), window.start);
}

nanoseconds TimeUntilEnd(const Window& window, framework::WallTime now) {
  if (IsWholeDay(window)) {
    return nanoseconds::max();
  }
  return IsActive(window, now) ? Until(TimeOfDay(now), window.end) : nanoseconds(0);
}

}  // namespace lentilhead::sheet
