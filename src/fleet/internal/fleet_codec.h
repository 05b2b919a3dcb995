#pragma once

#include <json/json.h>

#include <optional>
#include <vector>

#include "fleet/internal/heartbeat.h"
#include "fleet/types/drain_state.h"
#include "fleet/types/fleet_instance.h"
#include "fleet/types/instance_status.h"

namespace lentilhead::fleet::internal {

/// Converts the messages between instances to and from JSON. A parsing function returns no value if
/// a required field is missing: name, peer address or state of an instance, or the revision of the
/// drains.
Json::Value ToJson(const FleetInstance& instance);
std::optional<FleetInstance> InstanceFromJson(const Json::Value& value);

Json::Value ToJson(const std::vector<FleetInstance>& instances);
std::vector<FleetInstance> InstancesFromJson(const Json::Value& value);

Json::Value ToJson(const Heartbeat& heartbeat);
std::optional<Heartbeat> HeartbeatFromJson(const Json::Value& value);

Json::Value ToJson(const DrainState& drains);
std::optional<DrainState> DrainsFromJson(const Json::Value& value);

Json::Value ToJson(const InstanceStatus& status);
std::optional<InstanceStatus> StatusFromJson(const Json::Value& value);

}  // namespace lentilhead::fleet::internal
