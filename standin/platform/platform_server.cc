#include "standin/platform/platform_server.h"

#include <glib.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "framework/http_error.h"
#include "standin/platform/internal/table_path.h"

namespace lentilhead::standin {

namespace {

constexpr std::size_t kMaxBodyBytes = 64 << 20;
constexpr double kMinBurstRequests = 1;
constexpr int kBurstsPerSecond = 10;  ///< A burst holds the requests of a tenth of a second.

}  // namespace

PlatformServer::Service::Service(const char* name, double writes_per_second,
                                 double reads_per_second)
    : name(name),
      writes(writes_per_second, std::max(kMinBurstRequests, writes_per_second / kBurstsPerSecond)),
      reads(reads_per_second, std::max(kMinBurstRequests, reads_per_second / kBurstsPerSecond)) {}

PlatformServer::PlatformServer(PlatformServerOptions options, framework::TimerService& timers)
    : options(std::move(options)),
      timers(timers),
      server({.address = this->options.address,
              .port = this->options.port,
              .max_body_size = kMaxBodyBytes},
             this->router, this->metrics),
      list(this->options.list_lag),
      table_service("table", this->options.writes_per_second, this->options.reads_per_second),
      object_service("objects", this->options.writes_per_second, this->options.reads_per_second),
      list_service("list", this->options.writes_per_second, this->options.reads_per_second),
      weight_service("weights", this->options.writes_per_second, this->options.reads_per_second),
      weights(timers, this->options.weight_bytes_per_second, this->options.weight_size) {
  this->AddRoutes();
}

PlatformServer::~PlatformServer() = default;

framework::Result<std::uint16_t> PlatformServer::Listen() {
  BOOST_LEAF_AUTO(port, this->server.Listen());
  this->url = "http://" + this->options.address + ":" + std::to_string(port);
  return port;
}

void PlatformServer::AddRoutes() {
  this->router.Add("*", "/table/", [this](const Exchange& e) { this->HandleTable(e); });
  this->router.Add("*", "/objects/", [this](const Exchange& e) { this->HandleObject(e); });
  this->router.Add("GET", "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices",
                   [this](const Exchange& e) { this->HandleList(e); });
  this->router.Add("GET", "/weights/", [this](const Exchange& e) { this->HandleWeights(e); });
  this->router.Add("POST", "/standin/list/",
                   [this](const Exchange& e) { this->HandleListChange(e); });
  this->router.Add("POST", "/standin/faults", [this](const Exchange& e) { this->HandleFaults(e); });
  this->router.Add("GET", "/standin/stats", [this](const Exchange& e) { this->HandleStats(e); });
}

void PlatformServer::ChangeList(const std::string& service, ListEntry entry) {
  this->list.RecordChange(service, std::move(entry), this->timers.Now());
}

void PlatformServer::SetFault(FaultTarget target, const Fault& fault) {
  switch (target) {
    case FaultTarget::kTable:
      this->table_service.fault = fault;
      return;
    case FaultTarget::kObjects:
      this->object_service.fault = fault;
      return;
    case FaultTarget::kList:
      this->list_service.fault = fault;
      return;
    case FaultTarget::kWeights:
      this->weight_service.fault = fault;
      return;
  }
}

void PlatformServer::RunLater(std::chrono::milliseconds delay, std::function<void()> callback) {
  const std::uint64_t id = this->next_delayed_id++;
  this->delayed_calls[id] = this->timers.After(delay, [this, id, callback = std::move(callback)] {
    callback();
    this->delayed_calls.erase(id);
  });
}

void PlatformServer::Serve(Service& service, bool is_write, const Exchange& exchange,
                           Effect effect) {
  if (service.fault.down) {
    this->stats[std::string(service.name) + " calls in an outage"] += 1;
    this->RunLater(std::chrono::milliseconds(0), [exchange] { exchange->Abort(); });
    return;
  }
  framework::TokenBucket& bucket = is_write ? service.writes : service.reads;
  if (!bucket.TryTake(this->timers.Now())) {
    this->stats[std::string(service.name) + " throttled"] += 1;
    exchange->Respond(503, "application/json",
                      R"({"odata.error":{"code":"ServerBusy","message":{"value":"busy"}}})");
    return;
  }
  if (service.fault.delay.count() == 0) {
    this->RunEffect(service, is_write, exchange, effect);
    return;
  }
  this->RunLater(service.fault.delay,
                 [this, &service, is_write, exchange, effect = std::move(effect)] {
                   this->RunEffect(service, is_write, exchange, effect);
                 });
}

void PlatformServer::RunEffect(Service& service, bool is_write, const Exchange& exchange,
                               const Effect& effect) {
  if (!is_write || service.fault.lose_answers == 0) {
    effect(exchange);
    return;
  }
  service.fault.lose_answers -= 1;
  effect(nullptr);
  this->stats[std::string(service.name) + " answers lost"] += 1;
  this->RunLater(std::chrono::milliseconds(0), [exchange] { exchange->Abort(); });
}

void PlatformServer::HandleWeights(const Exchange& exchange) {
  this->Serve(this->weight_service, false, exchange, [this](const Exchange& answered) {
    this->stats["weights read"] += 1;
    this->weights.Serve(answered);
  });
}

void PlatformServer::HandleListChange(const Exchange& exchange) {
  const std::string service(exchange->Path().substr(std::string("/standin/list/").size()));
  const auto body = nlohmann::json::parse(exchange->Body(), nullptr, false);
  const std::map<std::string, ListState> states{
      {"live", ListState::kLive}, {"leaving", ListState::kLeaving}, {"gone", ListState::kRemoved}};
  if (!body.is_object() || !body.contains("name") || !states.contains(body.value("state", ""))) {
    framework::RespondError(*exchange, {400, "invalid_request_error", "invalid_list_change",
                                        "name and state are required", std::nullopt, "not_run"});
    return;
  }
  this->ChangeList(service, {body.value("name", ""), body.value("address", ""),
                             body.value("zone", ""), states.at(body.value("state", ""))});
  framework::RespondJson(*exchange, 200, "{}");
}

void PlatformServer::HandleFaults(const Exchange& exchange) {
  const auto body = nlohmann::json::parse(exchange->Body(), nullptr, false);
  const std::map<std::string, std::vector<FaultTarget>> targets{
      {"table", {FaultTarget::kTable}},
      {"objects", {FaultTarget::kObjects}},
      {"list", {FaultTarget::kList}},
      {"weights", {FaultTarget::kWeights}},
      {"all",
       {FaultTarget::kTable, FaultTarget::kObjects, FaultTarget::kList, FaultTarget::kWeights}}};
  const auto found = body.is_object() ? targets.find(body.value("target", "")) : targets.end();
  if (found == targets.end()) {
    framework::RespondError(
        *exchange, {400, "invalid_request_error", "invalid_fault",
                    "target must be table, objects, list, weights or all", std::nullopt, ""});
    return;
  }
  for (const FaultTarget target : found->second) {
    this->SetFault(target,
                   {body.value("down", false), std::chrono::milliseconds(body.value("delay_ms", 0)),
                    body.value("lose_answers", 0)});
  }
  framework::RespondJson(*exchange, 200, "{}");
}

void PlatformServer::HandleStats(const Exchange& exchange) {
  framework::RespondJson(*exchange, 200, nlohmann::json(this->stats).dump());
}

}  // namespace lentilhead::standin
