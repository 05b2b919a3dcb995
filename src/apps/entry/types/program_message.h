#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "apps/entry/types/worker_message.h"

namespace lentilhead::apps {

/// A worker has written its last answer and listens no more.
struct WorkerDrained {
  int worker;
  std::size_t aborted;  ///< Answers that were ended early.
};

/// A worker knows endpoints of every service of the sheet.
struct WorkerReady {
  int worker;
};

/// A task cannot listen.
struct TaskFailed {
  std::string reason;
};

/// A message of the control task for every worker.
struct ForwardToWorkers {
  WorkerMessage message;
};

/// Messages to the main thread.
using ProgramMessage = std::variant<WorkerReady, WorkerDrained, TaskFailed, ForwardToWorkers>;

}  // namespace lentilhead::apps
