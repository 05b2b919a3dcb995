#pragma once

#include <memory>
#include <variant>

#include "online/caller_registry.h"

namespace lentilhead::apps {

/// Tells the task to leave the fleet.
struct LeaveFleet {};

/// The keys of operators were read again. The registry has all callers, of every role.
struct OperatorsChanged {
  std::shared_ptr<const online::CallerRegistry> callers;
};

/// Every worker is ready.
struct WorkersReady {};

/// Messages to the control task.
using ControlMessage = std::variant<LeaveFleet, OperatorsChanged, WorkersReady>;

}  // namespace lentilhead::apps
