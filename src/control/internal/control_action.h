#pragma once

#include <string>
#include <variant>
#include <vector>

#include "control/internal/endpoint_state.h"
#include "control/internal/rollout_record.h"

namespace lentilhead::control::internal {

enum class OrderKind { kLoad, kDrain, kUndrain };

/// Returns the name of the kind in lower case, as used in the path of the order.
const char* NameOf(OrderKind kind);

/// Result of an order.
enum class OrderResult {
  kDone,
  kStaleToken,  ///< The endpoint has seen a higher fencing token.
  kRefused,     ///< The endpoint answered with another error.
  kUnknown,     ///< No answer: the endpoint may or may not have executed the order.
};

/// Reads the state of an endpoint.
struct Observe {
  ManagedEndpoint endpoint;
};

/// Sends an order to an endpoint.
struct SendOrder {
  ManagedEndpoint endpoint;
  OrderKind kind = OrderKind::kLoad;
  DesiredState desired;  ///< Used by kLoad only.
};

/// Sends a small request to an endpoint to check that the loaded version answers.
struct CheckEndpoint {
  ManagedEndpoint endpoint;
  DesiredState desired;
};

/// Stores the record of the roll-outs.
struct StoreRecord {
  RolloutRecord record;
};

/// Reports to operators that a roll-out was halted.
struct ReportHalt {
  RolloutHalt halt;
  std::string model;
  std::string version;
};

/// Gives up the leadership, because an endpoint has seen the fencing token of a later leader.
struct StepDown {};

using ControlAction =
    std::variant<Observe, SendOrder, CheckEndpoint, StoreRecord, ReportHalt, StepDown>;
using ControlActions = std::vector<ControlAction>;

}  // namespace lentilhead::control::internal
