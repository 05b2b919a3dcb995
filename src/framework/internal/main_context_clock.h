#pragma once

#include <glib.h>

#include <functional>
#include <memory>
#include <optional>

#include "framework/types/time_types.h"

namespace lentilhead::framework::internal {

/// The machine's clocks with one wake-up source on a GLib main context.
class MainContextClock {
 public:
  explicit MainContextClock(GMainContext* context);
  MainContextClock(MainContextClock&& other) noexcept;
  MainContextClock& operator=(MainContextClock&&) = delete;
  MainContextClock(const MainContextClock&) = delete;
  MainContextClock& operator=(const MainContextClock&) = delete;
  ~MainContextClock();

  /// Sets the function that runs at each wake-up.
  void OnWakeUp(std::function<void()> callback);

  /// Arms the next wake-up; no value disarms it.
  void WakeUpAt(std::optional<MonotonicTime> due);

 private:
  GSource* source = nullptr;
  std::unique_ptr<std::function<void()>> callback;
};

}  // namespace lentilhead::framework::internal
