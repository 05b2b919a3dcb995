#pragma once

#include <cstddef>
#include <string>
#include <variant>

#include "apps/entry/types/worker_message.h"

namespace lentilhead::apps {

/// A worker has closed its listener and written its last answer.
struct WorkerDrained {
  int worker;
  std::size_t aborted;  ///< Number of aborted answers.
};

/// A worker has endpoints of every service of the sheet, or has stopped waiting for them.
struct WorkerReady {
  int worker;
};

/// A task failed to listen.
struct TaskFailed {
  std::string reason;
};

/// A message of the control task to all workers.
struct ForwardToWorkers {
  WorkerMessage message;
};

/// Messages to the main thread.
using ProgramMessage = std::variant<WorkerReady, WorkerDrained, TaskFailed, ForwardToWorkers>;

}  // namespace lentilhead::apps
