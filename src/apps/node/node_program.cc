#include "apps/node/node_program.h"

#include <unistd.h>

#include <csignal>
#include <ctime>
#include <fstream>
#include <sstream>

#include "apps/node/metric_help.h"
#include "gateway/internal/answers.h"
#include "net/log_line.h"
#include "net/log_sink.h"
#include "net/spawn.h"
#include "platform/job_codec.h"
#include "platform/request_codec.h"
#include "platform/settings_codec.h"

namespace lentilhead::node {

namespace {

using net::asio::awaitable;
using net::http::status;
using std::chrono::milliseconds;

constexpr milliseconds kMaintenancePeriod{100};
constexpr milliseconds kStallThreshold{700};        // longer than usual scheduling delays
constexpr milliseconds kStoreSilenceTimeout{1100};  // after it, peers may provide the endpoints
constexpr int kSettingsCheckTicks = 10;  // maintenance periods between checks of the file
constexpr int kOutcomeTicks = 10;        // maintenance periods in which outcomes are counted

std::chrono::nanoseconds BootTime() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

std::string NewIncarnation(const std::string& name) {
  return name + "#" + std::to_string(BootTime().count()) + "-" + std::to_string(::getpid());
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

net::tcp::endpoint PeerListener(const gateway::NodeSettings& settings) {
  return settings.peers.value_or(
      net::tcp::endpoint(settings.callers.address(), settings.load_port));
}

}  // namespace

NodeProgram::NodeProgram(Options options, gateway::NodeSettings settings, std::string settings_text)
    : options(std::move(options)),
      settings(std::move(settings)),
      executor(this->context.get_executor()),
      gateway(this->executor, this->settings.zone),
      store(this->executor, this->settings.store),
      view(this->gateway),
      peers(this->gateway, this->view, {this->settings.callers.address(), this->settings.load_port},
            this->settings.name, NewIncarnation(this->settings.name)),
      presence(this->gateway, this->store, this->peers,
               {this->settings.name, this->settings.zone, this->settings.callers.address()}),
      view_relay(this->gateway, this->view, this->peers, PeerListener(this->settings).port()),
      quotas(this->executor, this->gateway.metrics,
             {this->settings.callers.address(),
              static_cast<std::uint16_t>(this->settings.load_port + 1)},
             this->settings.name, this->peers.Incarnation()),
      tunnel_server(this->MakeTunnelServer()),
      job_store(this->store, this->settings.row_bytes),
      job_service(this->gateway, this->job_store, this->peers, this->presence,
                  this->settings.job_retention),
      job_api(this->gateway, this->job_store, this->job_service, this->peers.Incarnation()),
      caller_server(
          this->gateway,
          [this](gateway::InferenceRequest request, gateway::RoutedRequest facts,
                 gateway::CancelScope&) {
            return this->job_api.Handle(std::move(request), std::move(facts));
          },
          jobs::JobApi::kLongestCall, platform::IsJobCall,
          [this](const gateway::InferenceRequest& request) {
            return this->job_api.IsOnKnownJob(request);
          }),
      config_follower(this->MakeConfigFollower()),
      endpoint_follower(this->MakeEndpointFollower()),
      node_follower(this->MakeNodeFollower()),
      claim_follower(this->MakeClaimFollower()),
      caller_listener(this->executor),
      readiness_server(this->executor, "readiness",
                       [this](net::Request request, const net::tcp::endpoint&) {
                         return this->AnswerReadiness(std::move(request));
                       }),
      peer_server(this->executor, "peers",
                  [this](net::Request request, net::tcp::endpoint caller) {
                    return this->AnswerPeer(std::move(request), std::move(caller));
                  }),
      metrics_server(this->executor, "metrics",
                     [this](net::Request request, const net::tcp::endpoint&) {
                       return this->AnswerMetrics(std::move(request));
                     }),
      signals(this->executor, SIGTERM, SIGINT, SIGHUP),
      settings_text(std::move(settings_text)) {}

void NodeProgram::Spawn(std::string_view name, awaitable<void> task) {
  // Without one of its tasks the node would serve half; a new process serves whole.
  net::Spawn(this->executor, name, std::move(task), [this] {
    this->has_failed = true;
    this->context.stop();
  });
}

bool NodeProgram::OpenListeners() {
  const net::tcp::endpoint metrics_address(this->settings.callers.address(),
                                           this->options.metrics_port);
  const std::pair<const char*, net::ErrorCode> outcomes[] = {
      {"callers", OpenListener(this->caller_listener, this->settings.callers)},
      {"readiness", this->readiness_server.Listen(this->settings.readiness)},
      {"peers", this->peer_server.Listen(PeerListener(this->settings))},
      {"loads", this->peers.Listen()},
      {"metrics", this->metrics_server.Listen(metrics_address)}};
  bool usable = true;
  for (const auto& [name, error] : outcomes) {
    if (error) {
      net::LogLine("listen_failed").With("listener", name).With("error", error.message());
      usable = false;
    }
  }
  if (const net::ErrorCode error = this->quotas.Listen()) {
    // The node serves all the same: customers get its share of their quotas.
    net::LogLine("listen_failed").With("listener", "quotas").With("error", error.message());
  }
  return usable;
}

void NodeProgram::SpawnTasks() {
  for (const net::tcp::endpoint& seed : this->settings.seeds) {
    this->peers.AddCandidate(seed.address());
  }
  this->gateway.admission.OnLoadChange([this](const gateway::EndpointState& endpoint) {
    this->peers.NoteLoadChange(endpoint);
    net::asio::post(this->executor, [this] { this->gateway.admission.Dispatch(); });
  });
  this->store.SetRelayFinder([this]() -> std::optional<net::tcp::endpoint> {
    const net::asio::ip::address peer = this->peers.PeerServedByStore();
    if (peer.is_unspecified()) {
      return std::nullopt;
    }
    return net::tcp::endpoint(peer, PeerListener(this->settings).port());
  });
  this->ConnectQuarantine();
  this->ConnectLimits();
  this->gateway.quotas = &this->quotas;
  this->ConnectRelay();
  this->peers.SetStoreServed([this] { return this->store.IsServingThisNode(); });
  this->Spawn("follow_config", this->config_follower.Run());
  this->Spawn("follow_endpoints", this->endpoint_follower.Run());
  this->Spawn("follow_nodes", this->node_follower.Run());
  this->Spawn("follow_claims", this->claim_follower.Run());
  this->Spawn("announce",
              this->presence.Announce([this] { return this->job_service.OwnedCount() > 0; }));
  this->Spawn("await_evidence", this->AwaitEvidence());
  this->Spawn("send_to_peers", this->peers.Send());
  this->Spawn("receive_from_peers", this->peers.Receive());
  this->Spawn("limit_customers", this->quotas.Run());
  this->Spawn("receive_quotas", this->quotas.Receive());
  this->Spawn("relay_view", this->view_relay.Run([this] { return this->IsStoreSilent(); }));
  this->Spawn("maintain", this->Maintain());
  this->Spawn("handle_signals", this->HandleSignals());
  this->Spawn("run_jobs", this->job_service.Run());
  this->Spawn("serve_readiness", this->readiness_server.Run());
  this->Spawn("serve_peers", this->peer_server.Run());
  this->Spawn("serve_metrics", this->metrics_server.Run());
  this->Spawn("accept_callers", this->caller_server.Accept(this->caller_listener));
}

int NodeProgram::Run() {
  ::signal(SIGPIPE, SIG_IGN);
  net::LogSink::OfProcess().SetBounds({this->options.log_lines_per_second});
  net::LogLine("start")
      .With("node", this->settings.name)
      .With("start", this->peers.Incarnation())
      .With("zone", this->settings.zone)
      .With("version", LENTILHEAD_VERSION);
  if (!this->OpenListeners()) {
    net::LogSink::OfProcess().Flush();
    return 1;
  }
  DescribeMetrics(this->gateway.metrics);
  this->LimitHeldBytes();
  this->SpawnTasks();
  this->context.run();
  net::LogLine("stop")
      .With("node", this->settings.name)
      .With("in_flight", this->caller_server.RequestsInFlight());
  net::LogSink::OfProcess().Flush();
  return this->has_failed ? 1 : 0;
}

void NodeProgram::LimitHeldBytes() {
  if (this->settings.held_bytes) {
    this->gateway.memory.SetLimit(*this->settings.held_bytes);
    net::LogLine("memory_budget").With("limit", *this->settings.held_bytes);
  }
}

bool NodeProgram::IsReady() const { return this->gateway.CanServe() && !this->gateway.stopping; }

awaitable<net::Response> NodeProgram::AnswerReadiness(net::Request request) {
  const std::string path(request.target().substr(0, request.target().find('?')));
  if (!platform::IsReadinessPath(path)) {
    co_return gateway::MakeErrorResponse(status::not_found, "no_such_call");
  }
  co_return this->IsReady() ? net::Response(status::ok, 11)
                            : gateway::MakeErrorResponse(status::service_unavailable, "not_ready");
}

awaitable<net::Response> NodeProgram::AnswerPeer(net::Request request, net::tcp::endpoint caller) {
  this->peers.AddCandidate(caller.address());
  if (request.target() != peers::ViewRelay::kPath) {
    co_return co_await this->store.RelayCall(std::move(request));
  }
  net::Response response(status::ok, 11);
  response.set(net::http::field::content_type, "application/msgpack");
  response.body() = this->view.Encode();
  co_return response;
}

awaitable<net::Response> NodeProgram::AnswerMetrics(net::Request request) {
  if (request.method() != net::http::verb::get) {
    co_return gateway::MakeErrorResponse(status::method_not_allowed, "get_expected");
  }
  net::Response response(status::ok, 11);
  response.set(net::http::field::content_type, "text/plain; version=0.0.4");
  this->UpdateGauges();
  response.body() = this->gateway.metrics.Render();
  co_return response;
}

void NodeProgram::UpdateGauges() {
  framework::Metrics& values = this->gateway.metrics;
  values.GetGauge("node_requests_at_work")
      .Set(static_cast<std::int64_t>(this->caller_server.RequestsInFlight()));
  values.GetGauge("node_jobs_owned").Set(static_cast<std::int64_t>(this->job_service.OwnedCount()));
  this->job_service.UpdateGauges();
  values.GetGauge("gateway_parts_held")
      .Set(static_cast<std::int64_t>(this->gateway.quarantine.HeldCount()));
  values.GetGauge("gateway_endpoints_limited")
      .Set(static_cast<std::int64_t>(this->gateway.registry.Limits().LimitedCount()));
  values.GetGauge("gateway_endpoints_cut_off")
      .Set(static_cast<std::int64_t>(this->gateway.paths.CutOffCount()));
  values.GetGauge("node_held_bytes").Set(static_cast<std::int64_t>(this->gateway.memory.Held()));
  values.GetGauge("node_held_bytes_limit")
      .Set(static_cast<std::int64_t>(this->gateway.memory.Limit()));
  values.GetGauge("node_relay_connections")
      .Set(static_cast<std::int64_t>(this->tunnel_server.Open()));
  values.GetGauge("node_peers_alive").Set(static_cast<std::int64_t>(this->peers.Alive().size()));
  values.GetGauge("node_store_served").Set(this->store.IsServingThisNode() ? 1 : 0);
  values.GetGauge("node_config_version").Set(this->gateway.routes.Version());
  values.GetGauge("node_log_lines_suppressed")
      .Set(static_cast<std::int64_t>(net::LogSink::OfProcess().Dropped()));
}

awaitable<void> NodeProgram::HandleSignals() {
  while (true) {
    const auto [error, number] = co_await this->signals.async_wait(net::kAwaitWithError);
    if (error) {
      co_return;
    }
    if (number == SIGHUP) {
      this->Reload("signal");
      continue;
    }
    if (this->gateway.stopping) {
      net::LogLine("stop_again").With("in_flight", this->caller_server.RequestsInFlight());
      continue;
    }
    this->Spawn("leave", this->Leave());
  }
}

void NodeProgram::Reload(std::string_view cause) {
  const std::string text = ReadFile(this->options.settings_path);
  const bool changed = text != this->settings_text;
  platform::SettingsOutcome outcome = platform::DecodeSettings(text);
  if (const auto* errors = std::get_if<std::vector<platform::DecodeError>>(&outcome)) {
    net::LogLine("settings_unreadable")
        .With("cause", cause)
        .With("field", errors->front().field)
        .With("reason", errors->front().reason);
    return;
  }
  const auto& reloaded = std::get<gateway::NodeSettings>(outcome);
  this->settings_text = text;
  this->settings.seeds = reloaded.seeds;
  this->settings.store = reloaded.store;
  this->settings.stop_grace = reloaded.stop_grace;
  this->store.SetAddress(reloaded.store);
  for (const net::tcp::endpoint& seed : reloaded.seeds) {
    this->peers.AddCandidate(seed.address());
  }
  net::LogLine("reload").With("cause", cause).With("changed", changed);
}

void NodeProgram::RefreshAfterStall() {
  this->peers.RefreshAfterStall();
  this->presence.RefreshAfterStall();
}

void NodeProgram::ReportOutcomes() {
  const std::optional<gateway::OutcomeChange> change = this->gateway.outcomes.EndPeriod();
  if (!change) {
    return;
  }
  net::LogLine(change->is_serving ? "service_regained" : "service_lost")
      .With("served", change->served)
      .With("unserved", change->unserved)
      .With("reason", change->reason)
      .With("endpoints", this->gateway.registry.All().size())
      .With("unreachable", this->gateway.registry.Unreachable(net::Now()).size())
      .With("cut_off", this->gateway.paths.CutOffCount())
      .With("held", this->gateway.quarantine.HeldCount())
      .With("peers", this->peers.Alive().size())
      .With("store", this->store.IsServingThisNode())
      .With("config", this->gateway.routes.Version());
}

awaitable<void> NodeProgram::Maintain() {
  net::asio::steady_timer timer(this->executor);
  std::chrono::nanoseconds last = BootTime();
  for (int ticks = 1;; ++ticks) {
    timer.expires_after(kMaintenancePeriod);
    co_await timer.async_wait(net::kAwaitWithError);
    this->loop_lag.Record(net::Now() - timer.expiry());
    const std::chrono::nanoseconds now = BootTime();
    if (now - last > kStallThreshold) {
      net::LogLine("process_stalled").With("ms", net::ToMilliseconds(now - last).count());
      this->RefreshAfterStall();
    }
    last = now;
    this->removal_grace.Note(
        this->endpoint_follower.IsReachable() || this->store.IsServingThisNode(),
        !this->peers.PeerServedByStore().is_unspecified(), net::Now());
    this->presence.NoteStore(this->node_follower.IsReachable(), net::Now());
    this->gateway.idle_connections.Prune(net::Now());
    this->gateway.registry.Prune(net::Now());
    this->gateway.quarantine.Prune(net::Now());
    this->PruneLimits();
    this->gateway.registry.Outliers().UpdateEjections(this->gateway.registry.All(), net::Now());
    this->UpdateGroup();
    this->UpdateQuotas();
    this->gateway.admission.Dispatch();
    this->caller_server.EndSlowReaders();
    if (ticks % kOutcomeTicks == 0) {
      this->ReportOutcomes();
    }
    if (ticks % kSettingsCheckTicks == 0 &&
        ReadFile(this->options.settings_path) != this->settings_text) {
      this->Reload("file");
    }
    net::LogSink& sink = net::LogSink::OfProcess();
    if (const std::uint64_t lost = sink.TakeNewlyDropped(); lost > 0) {
      net::LogLine("log_lines_suppressed").With("count", lost).With("total", sink.Dropped());
    }
    sink.Flush();
  }
}

bool NodeProgram::IsStoreSilent() const {
  return net::Now() - this->endpoint_follower.LastAnswer() > kStoreSilenceTimeout &&
         !this->endpoint_follower.IsReachable();
}

}  // namespace lentilhead::node
