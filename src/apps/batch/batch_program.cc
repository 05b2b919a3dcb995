#include "apps/batch/batch_program.h"

#include <charconv>
#include <string>
#include <utility>

#include "framework/hash.h"
#include "framework/http_error.h"
#include "framework/log_event.h"

namespace lentilhead::apps {

namespace {

using framework::LogEvent;
using framework::Severity;

constexpr std::chrono::milliseconds kViewPeriod{100};
constexpr std::chrono::milliseconds kDrainCheckPeriod{50};

/// Time for items in flight to end by themselves; then they are cancelled, and other instances
/// continue them.
constexpr std::chrono::seconds kItemGracePeriod{10};
constexpr std::chrono::seconds kDrainLimit{30};
constexpr std::chrono::seconds kMaxViewAge{10};
constexpr std::size_t kMaxBodySize = 64 << 20;

framework::HttpServerSettings ListenerSettings(const std::string& address) {
  framework::HttpServerSettings server;
  const std::size_t colon = address.rfind(':');
  server.address = address.substr(0, colon);
  server.max_body_size = kMaxBodySize;
  if (colon != std::string::npos) {
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), server.port);
  }
  return server;
}

}  // namespace

BatchProgram::BatchProgram(const InstanceSettings& settings)
    : settings(settings),
      timers(framework::TimerService::OnMainContext(nullptr)),
      http(*this->timers),
      rpc(this->http, settings.fleet.secret),
      procedures(settings.fleet.secret),
      server(ListenerSettings(settings.fleet.batch_address), this->router, this->metrics),
      follower(settings.fleet, "batch", this->http, *this->timers, this->sheet),
      table(settings.platform, this->http, this->metrics),
      objects(settings.platform, this->http, this->metrics),
      list(settings.platform, this->http),
      budget(settings.platform.writes_per_second),
      writer(settings.fleet.name + "-batch-" + framework::RandomId(), this->table, this->budget,
             *this->timers, this->metrics),
      directory(settings.endpoint, settings.fleet.name, settings.fleet.zone, this->list, this->http,
                *this->timers, this->metrics),
      module({settings.batch, settings.endpoint, settings.fleet.name, framework::RandomId(),
              this->table, this->objects, this->writer, this->directory, this->http, this->rpc,
              *this->timers, this->metrics}) {}

BatchProgram::~BatchProgram() = default;

framework::Result<std::uint16_t> BatchProgram::Start() {
  this->RegisterRoutes();
  BOOST_LEAF_AUTO(port, this->server.Listen());
  this->module.TranslateModels([this](const std::string& model) {
    const auto current = this->sheet.Current();
    const sheet::SheetRow* row = current ? current->sheet.FindModel(model) : nullptr;
    if (row == nullptr || row->model.empty()) {
      return model;
    }
    return row->adapter.empty() ? row->model : row->model + ":" + row->adapter;
  });
  this->directory.Start();
  this->module.Start();
  this->follower.OnChange([this] { this->OnView(); });
  this->view_timer = this->timers->Every(kViewPeriod, [this] { this->OnView(); });
  LogEvent(Severity::kInfo, "batch_started").With("port", port);
  return port;
}

void BatchProgram::RegisterRoutes() {
  this->module.RegisterProcedures(this->procedures);
  this->procedures.Register(this->router, "/rpc");
  this->router.Add("GET", "/metrics", [this](const auto& exchange) {
    exchange->Respond(200, "text/plain; version=0.0.4", this->metrics.Render());
  });
  this->router.Add("GET", "/health", [this](const auto& exchange) {
    const auto confirmed = this->follower.LastConfirmed();
    const bool ready = confirmed && this->timers->Now() < *confirmed + kMaxViewAge;
    const char* state = this->draining ? "leaving" : (ready ? "ready" : "starting");
    framework::RespondJson(*exchange, ready && !this->draining ? 200 : 503,
                           std::string(R"({"state":")") + state + R"("})");
  });
}

void BatchProgram::OnView() {
  const auto confirmed = this->follower.LastConfirmed();
  if (!confirmed) {
    return;
  }
  this->directory.SetDrained(this->follower.DrainedEndpoints());
  this->module.OnView(this->follower.View(), *confirmed);
}

void BatchProgram::Drain(std::function<void()> on_done) {
  this->on_drained = std::move(on_done);
  this->draining = true;
  this->drain_started = this->timers->Now();
  this->module.Drain();
  const LogEvent event(Severity::kInfo, "batch_leaving");
  this->drain_timer = this->timers->Every(kDrainCheckPeriod, [this] { this->CheckDrained(); });
}

void BatchProgram::CheckDrained() {
  const framework::MonotonicTime now = this->timers->Now();
  const bool idle = this->module.IsIdle();
  if (!idle && !this->preempted && now >= this->drain_started + kItemGracePeriod) {
    this->preempted = true;
    this->module.PreemptAll();
  }
  if (!idle && now < this->drain_started + kDrainLimit) {
    return;
  }
  this->drain_timer.Cancel();
  const Severity severity = idle ? Severity::kInfo : Severity::kWarning;
  LogEvent(severity, "batch_stopped").With("handed_over", idle);
  this->on_drained();
}

}  // namespace lentilhead::apps
