#include "framework/task.h"

#include <pthread.h>

#include <utility>

namespace lentilhead::framework {

namespace {

constexpr std::size_t kMaxThreadNameLength = 15;

gboolean QuitLoop(gpointer loop) {
  g_main_loop_quit(static_cast<GMainLoop*>(loop));
  return G_SOURCE_REMOVE;
}

}  // namespace

Task::Task(std::string name)
    : name(std::move(name)),
      context(g_main_context_new()),
      loop(g_main_loop_new(this->context, FALSE)),
      timers(TimerService::OnMainContext(this->context)) {}

Task::~Task() {
  this->Stop();
  this->timers.reset();
  g_main_loop_unref(this->loop);
  g_main_context_unref(this->context);
}

GMainContext* Task::Context() const { return this->context; }

TimerService& Task::Timers() const { return *this->timers; }

void Task::Start(std::function<void()> on_start, std::function<void()> on_stop) {
  this->set_up = std::move(on_start);
  this->tear_down = std::move(on_stop);
  this->thread = std::thread([this] { this->Run(); });
}

void Task::Stop() {
  if (!this->thread.joinable()) {
    return;
  }
  GSource* source = g_idle_source_new();
  g_source_set_callback(source, QuitLoop, this->loop, nullptr);
  g_source_attach(source, this->context);
  g_source_unref(source);
  this->thread.join();
}

void Task::Run() {
  pthread_setname_np(pthread_self(), this->name.substr(0, kMaxThreadNameLength).c_str());
  g_main_context_push_thread_default(this->context);
  this->set_up();
  g_main_loop_run(this->loop);
  this->tear_down();
  g_main_context_pop_thread_default(this->context);
}

}  // namespace lentilhead::framework
