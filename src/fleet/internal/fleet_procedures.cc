#include <utility>

#include "fleet/internal/fleet_codec.h"
#include "fleet/internal/fleet_state.h"
#include "fleet/internal/json_fields.h"

namespace lentilhead::fleet {

using internal::CountField;
using internal::TextField;
using internal::ToJson;

namespace {

constexpr const char* kBatchProgram = "batch";

}  // namespace

void FleetModule::State::RegisterProcedures(framework::JsonRpcServer& server) {
  const auto add = [&](const char* name, Json::Value (State::*procedure)(const Json::Value&)) {
    server.Add(name, [weak = weak_from_this(), procedure](const Json::Value& message) {
      const auto self = weak.lock();
      return self ? (self.get()->*procedure)(message) : Json::Value(Json::objectValue);
    });
  };
  add("fleet.heartbeat", &State::HandleHeartbeat);
  add("fleet.probe", &State::HandleProbe);
  add("fleet.confirm", &State::HandleConfirm);
  add("fleet.view", &State::HandleView);
  add("sheet.fetch", &State::HandleSheetFetch);
  server.Add("fleet.members", [weak = weak_from_this()](const Json::Value& /*message*/) {
    Json::Value answer(Json::objectValue);
    if (const auto self = weak.lock()) {
      answer["members"] = ToJson(self->membership.Members());
    }
    return answer;
  });
  server.Add("drains.fetch", [weak = weak_from_this()](const Json::Value& /*message*/) {
    const auto self = weak.lock();
    return self ? ToJson(self->drains) : Json::Value(Json::objectValue);
  });
  server.Add("fleet.status", [weak = weak_from_this()](const Json::Value& /*message*/) {
    const auto self = weak.lock();
    return self ? ToJson(self->OwnStatus()) : Json::Value(Json::objectValue);
  });
}

Json::Value FleetModule::State::HandleHeartbeat(const Json::Value& message) {
  const auto heartbeat = internal::HeartbeatFromJson(message);
  if (!heartbeat) {
    this->Count("fleet_refusals_total", {{"reason", "invalid_heartbeat"}});
    return Json::Value(Json::objectValue);
  }
  const auto now = this->dependencies.timers.Now();
  internal::Heartbeat answer = this->membership.OnHeartbeat(*heartbeat, now);
  this->OnPeerRevisions(*heartbeat, now - this->settings.heartbeat_timeout);
  answer.revisions = this->Revisions();
  this->Publish();
  return ToJson(answer);
}

Json::Value FleetModule::State::HandleProbe(const Json::Value& message) {
  const std::string requester = TextField(message, "requester");
  const std::string target = TextField(message, "target");
  const std::string address = TextField(message, "address");
  if (requester.empty() || target.empty() || address.empty()) {
    this->Count("fleet_refusals_total", {{"reason", "invalid_probe_request"}});
    return Json::Value(Json::objectValue);
  }
  this->Execute(this->membership.OnProbeRequest(requester, target, address));
  return Json::Value(Json::objectValue);
}

Json::Value FleetModule::State::HandleConfirm(const Json::Value& message) {
  const auto target = internal::InstanceFromJson(message);
  if (!target) {
    this->Count("fleet_refusals_total", {{"reason", "invalid_confirmation"}});
    return Json::Value(Json::objectValue);
  }
  this->membership.OnConfirmation(*target, this->dependencies.timers.Now());
  this->Publish();
  return Json::Value(Json::objectValue);
}

Json::Value FleetModule::State::SheetNewerThan(std::uint64_t revision) const {
  Json::Value answer(Json::objectValue);
  const auto current = this->dependencies.sheet.Current();
  if (current && current->revision > revision) {
    answer["revision"] = current->revision;
    answer["csv"] = current->csv;
  }
  return answer;
}

Json::Value FleetModule::State::HandleSheetFetch(const Json::Value& message) {
  return this->SheetNewerThan(CountField(message, "above"));
}

Json::Value FleetModule::State::HandleView(const Json::Value& message) {
  if (TextField(message, "program") == kBatchProgram) {
    this->last_batch_call = this->dependencies.timers.Now();
    this->UpdateBatchAddress();
  }
  Json::Value answer(Json::objectValue);
  answer["epoch"] = this->view_epoch;
  answer["version"] = this->view_version;
  const bool same = CountField(message, "epoch") == this->view_epoch &&
                    CountField(message, "version") == this->view_version;
  if (!same && this->CanShowView()) {
    answer["self"] = this->view.self;
    answer["instances"] = ToJson(this->view.instances);
  }
  answer["sheet"] = this->SheetNewerThan(CountField(message, "sheet"));
  if (!same || CountField(message, "drains") != this->drains.revision) {
    answer["drains"] = ToJson(this->drains);
  }
  return answer;
}

InstanceStatus FleetModule::State::OwnStatus() const {
  InstanceStatus status;
  status.instance = this->membership.Self();
  status.answered = true;
  status.ready = this->IsReady();
  status.drain_revision = this->drains.revision;
  status.confirmation_age = this->sheet_tracker.ConfirmationAge(this->dependencies.timers.Now());
  return status;
}

}  // namespace lentilhead::fleet
