#pragma once

#include <memory>
#include <string>
#include <vector>

#include "apps/common/instance_settings.h"
#include "apps/entry/control_task.h"
#include "apps/entry/file_watch.h"
#include "apps/entry/types/program_message.h"
#include "apps/entry/worker_task.h"
#include "framework/mailbox.h"
#include "framework/metrics.h"
#include "framework/program.h"
#include "framework/timer_service.h"

namespace lentilhead::apps {

/// The entry process: runs the control task and the workers, and shuts them down.
class EntryProgram {
 public:
  /// @param settings_file path of the settings; the callers are read again when the file changes.
  EntryProgram(InstanceSettings settings, std::string settings_file);
  EntryProgram(const EntryProgram&) = delete;
  EntryProgram& operator=(const EntryProgram&) = delete;

  /// Runs until a signal or a failure ends the program. @return the exit code.
  int Run();

 private:
  struct Visitor;

  void PostToWorkers(const WorkerMessage& message);
  void OnWorkerReady();
  void OnWorkerDrained(const WorkerDrained& drained);
  void OnTaskFailed(const TaskFailed& failed);
  void Leave();
  void Abort(const char* reason);
  void CheckFiles();
  void ReloadCallers();

  InstanceSettings settings;
  std::string settings_file;
  framework::Metrics metrics;
  std::unique_ptr<framework::TimerService> timers;
  framework::ProgramLoop loop;
  framework::Mailbox<ProgramMessage> mailbox;
  ControlTask control;
  std::vector<std::unique_ptr<WorkerTask>> workers;
  FileWatch settings_watch;
  FileWatch tls_watch;
  framework::TimerSubscription reload_timer;
  framework::TimerSubscription lag_timer;
  framework::TimerSubscription limit_timer;
  int ready_workers = 0;
  int drained_workers = 0;
  std::size_t aborted_answers = 0;
};

}  // namespace lentilhead::apps
