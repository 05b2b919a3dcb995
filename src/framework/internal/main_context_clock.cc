#include "framework/internal/main_context_clock.h"

#include <utility>

namespace lentilhead::framework::internal {

namespace {

constexpr gint64 kNeverReady = -1;

gboolean DispatchWakeUp(GSource* source, GSourceFunc /*callback*/, gpointer data) {
  g_source_set_ready_time(source, kNeverReady);
  (*static_cast<std::function<void()>*>(data))();
  return G_SOURCE_CONTINUE;
}

GSourceFuncs wake_up_functions = {nullptr, nullptr, DispatchWakeUp, nullptr, nullptr, nullptr};

gboolean Unused(gpointer /*data*/) { return G_SOURCE_CONTINUE; }

}  // namespace

MainContextClock::MainContextClock(GMainContext* context)
    : source(g_source_new(&wake_up_functions, sizeof(GSource))),
      callback(std::make_unique<std::function<void()>>([] {})) {
  g_source_set_callback(this->source, Unused, this->callback.get(), nullptr);
  g_source_attach(this->source, context);
}

MainContextClock::MainContextClock(MainContextClock&& other) noexcept
    : source(std::exchange(other.source, nullptr)), callback(std::move(other.callback)) {}

MainContextClock::~MainContextClock() {
  if (this->source == nullptr) {
    return;
  }
  g_source_destroy(this->source);
  g_source_unref(this->source);
}

void MainContextClock::OnWakeUp(std::function<void()> on_wake_up) {
  *this->callback = std::move(on_wake_up);
}

void MainContextClock::WakeUpAt(std::optional<MonotonicTime> due) {
  if (!due) {
    g_source_set_ready_time(this->source, kNeverReady);
    return;
  }
  const auto since_boot = std::chrono::ceil<std::chrono::microseconds>(due->time_since_epoch());
  g_source_set_ready_time(this->source, since_boot.count());
}

}  // namespace lentilhead::framework::internal
