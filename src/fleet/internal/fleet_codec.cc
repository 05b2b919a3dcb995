#include "fleet/internal/fleet_codec.h"

#include <utility>

#include "fleet/internal/json_fields.h"
#include "fleet/types/instance_state_name.h"

namespace lentilhead::fleet::internal {

namespace {

Json::Value ToJson(const ReplicaRevision& revision) {
  Json::Value value(Json::objectValue);
  value["revision"] = revision.revision;
  if (revision.store_age) {
    value["age_ms"] = revision.store_age->count();
  }
  return value;
}

ReplicaRevision RevisionFromJson(const Json::Value& value) {
  return {CountField(value, "revision"), DurationField(value, "age_ms")};
}

Json::Value ToJson(const std::set<std::string>& names) {
  Json::Value value(Json::arrayValue);
  for (const std::string& name : names) {
    value.append(name);
  }
  return value;
}

std::set<std::string> NamesFromJson(const Json::Value& value) {
  std::set<std::string> names;
  for (const Json::Value& name : value.isArray() ? value : Json::Value(Json::arrayValue)) {
    if (name.isString()) {
      names.insert(name.asString());
    }
  }
  return names;
}

}  // namespace

Json::Value ToJson(const FleetInstance& instance) {
  Json::Value value(Json::objectValue);
  value["name"] = instance.name;
  value["zone"] = instance.zone;
  value["peer"] = instance.peer_address;
  value["batch"] = instance.batch_address;
  value["operator"] = instance.operator_address;
  value["version"] = instance.version;
  value["incarnation"] = instance.incarnation;
  value["state"] = NameOf(instance.state);
  value["sheet"] = instance.sheet_revision;
  return value;
}

std::optional<FleetInstance> InstanceFromJson(const Json::Value& value) {
  FleetInstance instance;
  instance.name = TextField(value, "name");
  instance.zone = TextField(value, "zone");
  instance.peer_address = TextField(value, "peer");
  instance.batch_address = TextField(value, "batch");
  instance.operator_address = TextField(value, "operator");
  instance.version = TextField(value, "version");
  instance.incarnation = CountField(value, "incarnation");
  instance.sheet_revision = CountField(value, "sheet");
  const auto state = InstanceStateOf(TextField(value, "state"));
  if (instance.name.empty() || instance.peer_address.empty() || !state) {
    return std::nullopt;
  }
  instance.state = *state;
  return instance;
}

Json::Value ToJson(const std::vector<FleetInstance>& instances) {
  Json::Value value(Json::arrayValue);
  for (const FleetInstance& instance : instances) {
    value.append(ToJson(instance));
  }
  return value;
}

std::vector<FleetInstance> InstancesFromJson(const Json::Value& value) {
  std::vector<FleetInstance> instances;
  for (const Json::Value& entry : value.isArray() ? value : Json::Value(Json::arrayValue)) {
    auto instance = InstanceFromJson(entry);
    if (instance) {
      instances.push_back(*std::move(instance));
    }
  }
  return instances;
}

Json::Value ToJson(const Heartbeat& heartbeat) {
  Json::Value value(Json::objectValue);
  value["sender"] = ToJson(heartbeat.sender);
  if (!heartbeat.updates.empty()) {
    value["updates"] = ToJson(heartbeat.updates);
  }
  value["digest"] = heartbeat.members_digest;
  value["sheet"] = ToJson(heartbeat.revisions.sheet);
  value["drains"] = ToJson(heartbeat.revisions.drains);
  return value;
}

std::optional<Heartbeat> HeartbeatFromJson(const Json::Value& value) {
  auto sender = InstanceFromJson(ValueField(value, "sender"));
  if (!sender) {
    return std::nullopt;
  }
  Heartbeat heartbeat;
  heartbeat.sender = *std::move(sender);
  heartbeat.updates = InstancesFromJson(ValueField(value, "updates"));
  heartbeat.members_digest = CountField(value, "digest");
  heartbeat.revisions.sheet = RevisionFromJson(ValueField(value, "sheet"));
  heartbeat.revisions.drains = RevisionFromJson(ValueField(value, "drains"));
  return heartbeat;
}

Json::Value ToJson(const DrainState& drains) {
  Json::Value value(Json::objectValue);
  value["revision"] = drains.revision;
  value["endpoints"] = ToJson(drains.endpoints);
  value["instances"] = ToJson(drains.instances);
  return value;
}

std::optional<DrainState> DrainsFromJson(const Json::Value& value) {
  if (!value.isObject() || !value.isMember("revision")) {
    return std::nullopt;
  }
  return DrainState{CountField(value, "revision"), NamesFromJson(ValueField(value, "endpoints")),
                    NamesFromJson(ValueField(value, "instances"))};
}

Json::Value ToJson(const InstanceStatus& status) {
  Json::Value value(Json::objectValue);
  value["instance"] = ToJson(status.instance);
  value["ready"] = status.ready;
  value["drain_revision"] = status.drain_revision;
  if (status.confirmation_age) {
    value["age_ms"] = status.confirmation_age->count();
  }
  return value;
}

std::optional<InstanceStatus> StatusFromJson(const Json::Value& value) {
  auto instance = InstanceFromJson(ValueField(value, "instance"));
  if (!instance) {
    return std::nullopt;
  }
  InstanceStatus status;
  status.instance = *std::move(instance);
  status.answered = true;
  status.ready = ValueField(value, "ready").isBool() && value["ready"].asBool();
  status.drain_revision = CountField(value, "drain_revision");
  status.confirmation_age = DurationField(value, "age_ms");
  return status;
}

}  // namespace lentilhead::fleet::internal
