#pragma once

#include <functional>
#include <memory>

#include "apps/common/instance_settings.h"
#include "apps/entry/types/control_message.h"
#include "apps/entry/types/program_message.h"
#include "framework/mailbox.h"
#include "framework/metrics.h"
#include "framework/task.h"

namespace lentilhead::apps {

/// The task that runs the fleet membership, the sheet and the listeners for operators and peers.
class ControlTask {
 public:
  /// @param report sends a message to the main thread.
  ControlTask(const InstanceSettings& settings, framework::Metrics& metrics,
              std::function<void(ProgramMessage)> report);
  ControlTask(const ControlTask&) = delete;
  ControlTask& operator=(const ControlTask&) = delete;
  ~ControlTask();

  void Start();
  void Post(const ControlMessage& message);

  /// Ends the task and joins its thread.
  void Stop() { this->task.Stop(); }

 private:
  class State;

  void SetUp();

  const InstanceSettings& settings;
  framework::Metrics& metrics;
  std::function<void(ProgramMessage)> report;
  framework::Task task;
  std::unique_ptr<State> state;
  framework::Mailbox<ControlMessage> mailbox;
};

}  // namespace lentilhead::apps
