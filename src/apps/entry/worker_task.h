#pragma once

#include <functional>
#include <memory>

#include "apps/entry/types/program_message.h"
#include "apps/entry/types/worker_message.h"
#include "apps/entry/worker_state.h"
#include "framework/mailbox.h"
#include "framework/task.h"

namespace lentilhead::apps {

/// Worker task that accepts connections on the callers' port and serves their requests.
class WorkerTask {
 public:
  /// @param number number of the worker, from 0.
  /// @param report sends a message to the main thread.
  WorkerTask(int number, const InstanceSettings& settings, framework::Metrics& metrics,
             std::function<void(ProgramMessage)> report);
  WorkerTask(const WorkerTask&) = delete;
  WorkerTask& operator=(const WorkerTask&) = delete;

  void Start();
  void Post(const WorkerMessage& message);

  /// Ends the task and joins its thread.
  void Stop() { this->task.Stop(); }

 private:
  void SetUp();

  int number;
  const InstanceSettings& settings;
  framework::Metrics& metrics;
  std::function<void(ProgramMessage)> report;
  framework::Task task;
  std::unique_ptr<WorkerState> state;
  framework::Mailbox<WorkerMessage> mailbox;
};

}  // namespace lentilhead::apps
