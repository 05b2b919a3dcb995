#pragma once

#include <memory>
#include <set>
#include <string>
#include <variant>

#include "online/caller_registry.h"
#include "online/types/readiness.h"
#include "sheet/types/sheet.h"

namespace lentilhead::apps {

/// A sheet is in force.
struct SheetChanged {
  std::shared_ptr<const sheet::AcceptedSheet> sheet;
};

/// The endpoints that operators drain.
struct DrainsChanged {
  std::set<std::string> endpoints;
};

/// What the health page must say.
struct ReadinessChanged {
  online::Readiness readiness;
};

/// The callers' settings were read again.
struct CallersChanged {
  std::shared_ptr<const online::CallerRegistry> callers;
};

/// The files of the certificate or its key changed.
struct TlsChanged {};

/// The balancer sends no more; close the listener and end when the last answer is written.
struct StopListening {};

/// End every open answer with an error now.
struct AbortOpenRequests {};

/// Messages to a worker task.
using WorkerMessage = std::variant<SheetChanged, DrainsChanged, ReadinessChanged, CallersChanged,
                                   TlsChanged, StopListening, AbortOpenRequests>;

}  // namespace lentilhead::apps
