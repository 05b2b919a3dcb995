#include "apps/entry/control_task.h"

#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include "control/operator_api.h"
#include "datastore/instance_list_client.h"
#include "datastore/object_store_client.h"
#include "datastore/resolved_writer.h"
#include "datastore/table_client.h"
#include "fleet/fleet_module.h"
#include "framework/hash.h"
#include "framework/http_client.h"
#include "framework/http_error.h"
#include "framework/http_router.h"
#include "framework/http_server.h"
#include "framework/json_rpc_server.h"
#include "online/types/refusal.h"
#include "sheet/sheet_store.h"

namespace lentilhead::apps {

namespace {

constexpr int kOk = 200;
constexpr int kForbidden = 403;
constexpr int kServiceUnavailable = 503;
constexpr std::chrono::milliseconds kReadinessPeriod{200};

framework::HttpServerSettings ListenerSettings(const std::string& address) {
  framework::HttpServerSettings listener;
  const std::size_t colon = address.rfind(':');
  listener.address = address.substr(0, colon);
  if (colon != std::string::npos) {
    const char* end = address.data() + address.size();
    std::from_chars(address.data() + colon + 1, end, listener.port);
  }
  return listener;
}

}  // namespace

/// State of the task, which only the task's thread uses.
class ControlTask::State {
 public:
  State(const InstanceSettings& settings, framework::TimerService& timers,
        framework::Metrics& metrics, std::function<void(ProgramMessage)> report);

  framework::Result<void> Start();
  void Leave() { this->fleet.Leave(); }
  void SetWorkersReady() {
    this->workers_ready = true;
    this->PublishChanges();
  }
  void SetCallers(std::shared_ptr<const online::CallerRegistry> registry) {
    this->callers = std::move(registry);
  }

 private:
  void RegisterRoutes();
  std::optional<std::string> Authenticate(framework::HttpExchange& exchange);
  void PublishChanges();
  [[nodiscard]] online::Readiness CurrentReadiness() const;

  framework::Metrics& metrics;
  std::function<void(ProgramMessage)> report;
  framework::HttpClient http;
  datastore::TableClient table;
  datastore::ObjectStoreClient objects;
  datastore::WriteBudget budget;
  datastore::ResolvedWriter writer;
  datastore::InstanceListClient list;
  sheet::SheetStore sheets;
  sheet::SheetInForce sheet;
  fleet::FleetModule fleet;
  control::OperatorApi operators;
  std::shared_ptr<const online::CallerRegistry> callers;
  framework::JsonRpcServer procedures;
  framework::HttpRouter operator_router;
  framework::HttpRouter peer_router;
  framework::HttpServer operator_server;
  framework::HttpServer peer_server;
  framework::TimerSubscription readiness_check;
  bool workers_ready = false;
  std::optional<online::Readiness> published_readiness;
  std::optional<std::set<std::string>> published_drains;
};

ControlTask::State::State(const InstanceSettings& settings, framework::TimerService& timers,
                          framework::Metrics& metrics, std::function<void(ProgramMessage)> report)
    : metrics(metrics),
      report(std::move(report)),
      http(timers),
      table(settings.platform, this->http, metrics),
      objects(settings.platform, this->http, metrics),
      budget(settings.platform.writes_per_second / (settings.online.workers + 1)),
      writer(framework::RandomId(), this->table, this->budget, timers, metrics),
      list(settings.platform, this->http),
      sheets(this->table, this->objects, this->writer),
      fleet(settings.fleet, {this->http, timers, metrics, this->table, this->writer, this->list,
                             this->sheets, this->sheet}),
      operators(settings.endpoint, {this->http, timers, metrics, this->table, this->list,
                                    this->sheets, this->sheet, this->fleet}),
      callers(std::make_shared<const online::CallerRegistry>(settings.online.callers)),
      procedures(settings.fleet.secret),
      operator_server(ListenerSettings(settings.fleet.operator_address), this->operator_router,
                      metrics),
      peer_server(ListenerSettings(settings.fleet.peer_address), this->peer_router, metrics) {
  this->RegisterRoutes();
  this->sheet.OnChange([this](const sheet::AcceptedSheet& /*accepted*/) {
    this->report(ForwardToWorkers{SheetChanged{this->sheet.Current()}});
  });
  this->fleet.OnChange([this] { this->PublishChanges(); });
  this->readiness_check = timers.Every(kReadinessPeriod, [this] { this->PublishChanges(); });
}

framework::Result<void> ControlTask::State::Start() {
  BOOST_LEAF_CHECK(this->peer_server.Listen());
  BOOST_LEAF_CHECK(this->operator_server.Listen());
  this->fleet.Start();
  return {};
}

void ControlTask::State::RegisterRoutes() {
  this->fleet.RegisterProcedures(this->procedures);
  this->procedures.Register(this->peer_router, "/rpc");
  this->operators.RegisterRoutes(this->operator_router, [this](framework::HttpExchange& exchange) {
    return this->Authenticate(exchange);
  });
  this->operator_router.Add("GET", "/metrics", [this](const auto& exchange) {
    exchange->Respond(kOk, "text/plain; version=0.0.4", this->metrics.Render());
  });
  this->operator_router.Add("GET", "/health", [this](const auto& exchange) {
    const online::Readiness readiness = this->CurrentReadiness();
    const nlohmann::json body = {{"state", online::NameOf(readiness)}};
    const bool ready = readiness == online::Readiness::kReady;
    framework::RespondJson(*exchange, ready ? kOk : kServiceUnavailable, body.dump());
  });
}

std::optional<std::string> ControlTask::State::Authenticate(framework::HttpExchange& exchange) {
  const auto found = this->callers->Authenticate(exchange);
  if (const auto* reason = std::get_if<online::RefusalReason>(&found)) {
    this->metrics.GetCounter("operator_refusals_total", {{"reason", online::NameOf(*reason)}})
        .Add();
    framework::RespondError(exchange,
                            online::ToHttpError({*reason, online::Outcome::kNotRun, std::nullopt}));
    return std::nullopt;
  }
  const auto& caller = std::get<0>(found);
  if (caller->role != online::CallerRole::kOperator) {
    this->metrics.GetCounter("operator_refusals_total", {{"reason", "not_an_operator"}}).Add();
    framework::RespondError(exchange, {kForbidden, "authentication_error", "not_an_operator",
                                       "the key does not belong to an operator", std::nullopt,
                                       online::NameOf(online::Outcome::kNotRun)});
    return std::nullopt;
  }
  return caller->name;
}

online::Readiness ControlTask::State::CurrentReadiness() const {
  if (this->fleet.IsLeaving()) {
    return online::Readiness::kLeaving;
  }
  return this->workers_ready && this->fleet.IsReady() ? online::Readiness::kReady
                                                      : online::Readiness::kNotReady;
}

void ControlTask::State::PublishChanges() {
  const online::Readiness readiness = this->CurrentReadiness();
  if (this->published_readiness != readiness) {
    this->published_readiness = readiness;
    this->report(ForwardToWorkers{ReadinessChanged{readiness}});
  }
  const std::set<std::string>& drained = this->fleet.Drains().endpoints;
  if (this->published_drains != drained) {
    this->published_drains = drained;
    this->report(ForwardToWorkers{DrainsChanged{drained}});
  }
}

ControlTask::ControlTask(const InstanceSettings& settings, framework::Metrics& metrics,
                         std::function<void(ProgramMessage)> report)
    : settings(settings),
      metrics(metrics),
      report(std::move(report)),
      task("control"),
      mailbox(this->task.Context(), [this](const ControlMessage& message) {
        if (!this->state) {
          return;
        }
        if (const auto* change = std::get_if<OperatorsChanged>(&message)) {
          this->state->SetCallers(change->callers);
        } else if (std::holds_alternative<WorkersReady>(message)) {
          this->state->SetWorkersReady();
        } else {
          this->state->Leave();
        }
      }) {}

ControlTask::~ControlTask() { this->task.Stop(); }

void ControlTask::Start() {
  this->task.Start([this] { this->SetUp(); }, [this] { this->state.reset(); });
}

void ControlTask::Post(const ControlMessage& message) { this->mailbox.Post(message); }

void ControlTask::SetUp() {
  this->state =
      std::make_unique<State>(this->settings, this->task.Timers(), this->metrics, this->report);
  boost::leaf::try_handle_all(
      [&]() -> framework::Result<void> { return this->state->Start(); },
      [&](const framework::HttpServerError& error) { this->report(TaskFailed{error.detail}); },
      [&] { this->report(TaskFailed{"unknown"}); });
}

}  // namespace lentilhead::apps
