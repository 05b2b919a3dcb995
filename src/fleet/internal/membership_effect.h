#pragma once

#include <string>
#include <variant>
#include <vector>

#include "fleet/internal/heartbeat.h"
#include "fleet/types/fleet_instance.h"

namespace lentilhead::fleet::internal {

/// Sends a heartbeat and waits for its answer.
struct SendHeartbeat {
  std::string target;      ///< Name of the instance that should answer.
  std::string address;     ///< Its `ip:port`.
  bool is_probe = false;   ///< A failure must be passed to OnProbeFailed().
  std::string confirm_to;  ///< Address that an answer is confirmed to; empty for none.
  Heartbeat heartbeat;
};

/// Asks a relay to send a heartbeat to a target that has not answered.
struct SendProbeRequest {
  std::string relay_address;
  std::string target;
  std::string target_address;
};

/// Tells an instance that the target of its probe request has answered.
struct SendConfirmation {
  std::string address;
  FleetInstance target;
};

/// Asks an instance for its whole view.
struct RequestMembers {
  std::string address;
};

using MembershipEffect =
    std::variant<SendHeartbeat, SendProbeRequest, SendConfirmation, RequestMembers>;
using MembershipEffects = std::vector<MembershipEffect>;

}  // namespace lentilhead::fleet::internal
