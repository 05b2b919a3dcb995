#pragma once

#include <glib.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "framework/timer_service.h"

namespace lentilhead::framework {

/// A thread with its own GLib main context and timer service.
///
/// A task owns its sockets and its state; other tasks reach it through a Mailbox on Context().
class Task {
 public:
  /// @param name thread name, shown in logs; at most 15 characters are kept by the kernel.
  explicit Task(std::string name);
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  /// Stops the task and joins its thread.
  ~Task();

  [[nodiscard]] GMainContext* Context() const;

  /// Timer service of the task; use it only on the task's thread.
  [[nodiscard]] TimerService& Timers() const;

  /// Starts the thread. @param set_up runs first on the thread. @param tear_down runs last on it.
  void Start(std::function<void()> set_up, std::function<void()> tear_down);

  /// Asks the loop to end and joins the thread. Idempotent.
  void Stop();

 private:
  void Run();

  std::string name;
  GMainContext* context;
  GMainLoop* loop;
  std::unique_ptr<TimerService> timers;
  std::function<void()> set_up;
  std::function<void()> tear_down;
  std::thread thread;
};

}  // namespace lentilhead::framework
