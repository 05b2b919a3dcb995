#include <utility>

#include "control/internal/endpoint_collector.h"
#include "control/internal/operator_state.h"
#include "fleet/types/instance_state_name.h"
#include "framework/log_event.h"

namespace lentilhead::control {

namespace {

using fleet::DrainErrorKind;
using fleet::DrainTarget;
using framework::HttpError;

constexpr std::string_view kEndpointPrefix = "/v1/endpoints/";
constexpr std::string_view kInstancePrefix = "/v1/instances/";
constexpr char kControlPartition[] = "control";
constexpr char kRolloutRow[] = "rollout";

nlohmann::json StatusToJson(const fleet::InstanceStatus& status) {
  const fleet::FleetInstance& instance = status.instance;
  nlohmann::json json = {{"name", instance.name},
                         {"state", fleet::NameOf(instance.state)},
                         {"zone", instance.zone},
                         {"revision", instance.sheet_revision},
                         {"drain_revision", status.drain_revision},
                         {"confirmation_age_ms", nullptr},
                         {"version", instance.version},
                         {"incarnation", instance.incarnation},
                         {"peer_address", instance.peer_address},
                         {"operator_address", instance.operator_address},
                         {"ready", status.ready},
                         {"answered", status.answered}};
  if (status.confirmation_age) {
    json["confirmation_age_ms"] = status.confirmation_age->count();
  }
  return json;
}

HttpError HttpErrorOf(const fleet::DrainError& error) {
  switch (error.kind) {
    case DrainErrorKind::kContended:
      return {409,          "conflict_error", "contended", "other changes came first; retry",
              std::nullopt, "not_run"};
    case DrainErrorKind::kUnavailable:
      return {503,
              "unavailable_error",
              "store_unavailable",
              "the store is unavailable; nothing was changed",
              std::chrono::seconds(1),
              "not_run"};
    case DrainErrorKind::kOutcomeUnknown:
      return {504,
              "unavailable_error",
              "outcome_unknown",
              "the change may or may not have been stored; it can be repeated",
              std::chrono::seconds(1),
              "unknown"};
    case DrainErrorKind::kInvalidRow:
      return {502,
              "server_error",
              "stored_drains_unreadable",
              "the stored drains cannot be read",
              std::nullopt,
              "not_run"};
  }
  return {500, "server_error", "internal", "unknown failure", std::nullopt, "unknown"};
}

}  // namespace

void OperatorApi::State::ShowFleet(const Exchange& exchange, const std::string& /*operator_name*/) {
  this->dependencies.fleet.FetchStatus(
      [exchange](const std::vector<fleet::InstanceStatus>& statuses) {
        nlohmann::json instances = nlohmann::json::array();
        for (const fleet::InstanceStatus& status : statuses) {
          instances.push_back(StatusToJson(status));
        }
        framework::RespondJson(*exchange, 200, nlohmann::json{{"instances", instances}}.dump());
      });
}

void OperatorApi::State::ShowEndpoints(const Exchange& exchange,
                                       const std::string& /*operator_name*/) {
  std::vector<std::string> services;
  services.reserve(this->endpoints.services.size());
  for (const endpoint::ServiceSettings& service : this->endpoints.services) {
    services.push_back(service.name);
  }
  const auto collector = std::make_shared<internal::EndpointCollector>(
      this->dependencies.list, this->dependencies.http,
      [weak = weak_from_this(), exchange](nlohmann::json found, const nlohmann::json& unlisted) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        const fleet::DrainState& drains = self->dependencies.fleet.Drains();
        for (nlohmann::json& entry : found) {
          entry["drained"] = drains.endpoints.contains(entry["name"].get<std::string>());
        }
        const nlohmann::json body = {{"endpoints", found}, {"unlisted_services", unlisted}};
        framework::RespondJson(*exchange, 200, body.dump());
      });
  collector->Collect(services);
}

void OperatorApi::State::ShowRollouts(const Exchange& exchange,
                                      const std::string& /*operator_name*/) {
  this->dependencies.table.Get(
      kControlPartition, kRolloutRow, [weak = weak_from_this(), exchange](auto reply) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        if (reply) {
          framework::RespondJson(*exchange, 200, reply.Value().value.dump());
          return;
        }
        if (reply.Error().kind == datastore::TableErrorKind::kNotFound) {
          framework::RespondJson(*exchange, 200, "{}");
          return;
        }
        self->RespondError(exchange, {503, "unavailable_error", "store_unavailable",
                                      "the store is unavailable", std::chrono::seconds(1), ""});
      });
}

void OperatorApi::State::ChangeEndpoint(const Exchange& exchange,
                                        const std::string& operator_name) {
  this->ChangeDrain(exchange, operator_name, DrainTarget::kEndpoint, kEndpointPrefix);
}

void OperatorApi::State::ChangeInstance(const Exchange& exchange,
                                        const std::string& operator_name) {
  this->ChangeDrain(exchange, operator_name, DrainTarget::kInstance, kInstancePrefix);
}

void OperatorApi::State::ChangeDrain(const Exchange& exchange, const std::string& operator_name,
                                     DrainTarget target, std::string_view prefix) {
  const std::string_view rest = exchange->Path().substr(prefix.size());
  const std::size_t slash = rest.rfind('/');
  const std::string_view verb = slash == std::string_view::npos ? "" : rest.substr(slash + 1);
  if (slash == 0 || (verb != "drain" && verb != "undrain")) {
    this->RespondError(exchange, {404, "not_found_error", "unknown_path", "no such operation",
                                  std::nullopt, "not_run"});
    return;
  }
  const fleet::DrainChange change{target, std::string(rest.substr(0, slash)), verb == "drain",
                                  operator_name};
  this->dependencies.fleet.ChangeDrain(change, [weak = weak_from_this(), exchange,
                                                change](auto reply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    if (!reply) {
      self->RespondError(exchange, HttpErrorOf(reply.Error()));
      return;
    }
    const bool endpoint = change.target == DrainTarget::kEndpoint;
    framework::LogEvent(framework::Severity::kInfo, change.drained ? "drained" : "undrained")
        .With("operator", change.changed_by)
        .With(endpoint ? "endpoint" : "instance", change.name)
        .With("revision", reply.Value().revision);
    const nlohmann::json body = {
        {"name", change.name}, {"drained", change.drained}, {"revision", reply.Value().revision}};
    framework::RespondJson(*exchange, 200, body.dump());
  });
}

}  // namespace lentilhead::control
