#pragma once

#include <memory>
#include <set>
#include <string>
#include <variant>

#include "online/caller_registry.h"
#include "online/types/readiness.h"
#include "sheet/types/sheet.h"

namespace lentilhead::apps {

/// A new sheet is active.
struct SheetChanged {
  std::shared_ptr<const sheet::AcceptedSheet> sheet;
};

/// The set of endpoints that operators drain has changed.
struct DrainsChanged {
  std::set<std::string> endpoints;
};

/// The readiness that `/health` reports has changed.
struct ReadinessChanged {
  online::Readiness readiness;
};

/// The settings of callers were read again.
struct CallersChanged {
  std::shared_ptr<const online::CallerRegistry> callers;
};

/// The file of the certificate or of its key has changed.
struct TlsChanged {};

/// Tells the worker to close its listener, as the balancer sends no more requests, and to end once
/// it has written the last answer.
struct StopListening {};

/// Tells the worker to end every open request with an error immediately.
struct AbortOpenRequests {};

/// Messages to a worker task.
using WorkerMessage = std::variant<SheetChanged, DrainsChanged, ReadinessChanged, CallersChanged,
                                   TlsChanged, StopListening, AbortOpenRequests>;

}  // namespace lentilhead::apps
