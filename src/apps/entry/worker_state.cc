#include "apps/entry/worker_state.h"

#include <utility>

#include "framework/hash.h"
#include "framework/log_event.h"

namespace lentilhead::apps {

namespace {

constexpr std::chrono::milliseconds kDrainCheckPeriod{20};
constexpr std::chrono::milliseconds kReadyCheckPeriod{50};
/// Longest wait for services without any endpoint.
constexpr std::chrono::seconds kMaxEndpointWait{10};
constexpr int kMethodNotAllowed = 405;

/// Returns the task's share of the process's table writes per second: the control task and the
/// workers have equal shares.
double TaskWritesPerSecond(const InstanceSettings& settings) {
  return settings.platform.writes_per_second / (settings.online.workers + 1);
}

}  // namespace

struct WorkerState::Visitor {
  WorkerState& worker;

  void operator()(const SheetChanged& change) const { this->worker.sheet.Offer(change.sheet); }
  void operator()(const DrainsChanged& change) const {
    this->worker.directory.SetDrained(change.endpoints);
  }
  void operator()(const ReadinessChanged& change) const {
    this->worker.online.SetReadiness(change.readiness);
  }
  void operator()(const CallersChanged& change) const {
    this->worker.online.SetCallers(change.callers);
  }
  void operator()(const TlsChanged& /*change*/) const { this->worker.ReloadTls(); }
  void operator()(const StopListening& /*stop*/) const { this->worker.CloseListener(); }
  void operator()(const AbortOpenRequests& /*abort*/) const { this->worker.AbortOpen(); }
};

WorkerState::WorkerState(const InstanceSettings& settings, framework::TimerService& timers,
                         framework::Metrics& metrics, std::function<void()> on_ready,
                         std::function<void(std::size_t)> on_drained)
    : timers(timers),
      on_ready(std::move(on_ready)),
      on_drained(std::move(on_drained)),
      http(timers),
      table(settings.platform, this->http, metrics),
      objects(settings.platform, this->http, metrics),
      budget(TaskWritesPerSecond(settings)),
      writer(framework::RandomId(), this->table, this->budget, timers, metrics),
      list(settings.platform, this->http),
      directory(settings.endpoint, settings.fleet.name, settings.fleet.zone, this->list, this->http,
                timers, metrics),
      online(settings.online, {settings.endpoint, this->directory, this->http, timers, metrics,
                               this->table, this->writer, this->sheet}),
      jobs(settings.batch, settings.endpoint, this->table, this->objects, this->writer, timers,
           metrics),
      server(settings.online.Listener(), this->router, metrics) {
  this->online.RegisterRoutes(this->router);
  this->jobs.RegisterRoutes(
      this->router, [this](const auto& exchange) { return this->online.Authenticate(exchange); });
  framework::Counter& unknown_path =
      metrics.GetCounter("http_refusals_total", {{"reason", "unknown_path"}});
  framework::Counter& wrong_method =
      metrics.GetCounter("http_refusals_total", {{"reason", "method_not_allowed"}});
  this->router.OnRefused([&unknown_path, &wrong_method](int status) {
    (status == kMethodNotAllowed ? wrong_method : unknown_path).Add();
  });
}

framework::Result<void> WorkerState::Listen() {
  BOOST_LEAF_CHECK(this->server.Listen());
  this->directory.Start();
  this->ready_check = this->timers.Every(kReadyCheckPeriod, [this] { this->CheckReady(); });
  return {};
}

void WorkerState::Handle(const WorkerMessage& message) { std::visit(Visitor{*this}, message); }

void WorkerState::CheckReady() {
  const std::shared_ptr<const sheet::AcceptedSheet> current = this->sheet.Current();
  if (!current) {
    return;
  }
  if (!this->first_sheet_at) {
    this->first_sheet_at = this->timers.Now();
  }
  const bool waited = this->timers.Now() - *this->first_sheet_at >= kMaxEndpointWait;
  for (const sheet::SheetRow& row : current->sheet.rows) {
    if (!waited && this->directory.LoadOf(row.service).endpoints == 0) {
      return;
    }
  }
  this->ready_check.Cancel();
  this->on_ready();
}

void WorkerState::ReloadTls() {
  boost::leaf::try_handle_all([&]() -> framework::Result<void> { return this->server.ReloadTls(); },
                              [](const framework::HttpServerError& error) {
                                framework::LogEvent(framework::Severity::kError,
                                                    "tls_reload_failed")
                                    .With("detail", error.detail);
                              },
                              [] {});
}

void WorkerState::CloseListener() {
  this->server.StopListening();
  this->drain_check = this->timers.Every(kDrainCheckPeriod, [this] { this->CheckDrained(); });
}

void WorkerState::AbortOpen() { this->aborted += this->online.AbortAll(); }

void WorkerState::CheckDrained() {
  if (this->online.OpenRequests() > 0 || this->jobs.OpenExchanges() > 0) {
    return;
  }
  this->drain_check.Cancel();
  this->on_drained(this->aborted);
}

}  // namespace lentilhead::apps
