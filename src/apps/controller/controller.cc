#include "apps/controller/controller.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "framework/hash.h"
#include "framework/log_event.h"

namespace lentilhead::apps {

namespace {

framework::HttpServerSettings ListenerSettings(const std::string& address) {
  framework::HttpServerSettings listener;
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return listener;
  }
  listener.address = address.substr(0, colon);
  const char* end = address.data() + address.size();
  std::from_chars(address.data() + colon + 1, end, listener.port);
  return listener;
}

}  // namespace

Controller::Controller(const InstanceSettings& settings)
    : settings(settings),
      timers(framework::TimerService::OnMainContext(nullptr)),
      server(ListenerSettings(settings.control.address), this->router, this->metrics),
      http(*this->timers),
      table(settings.platform, this->http, this->metrics),
      budget(settings.platform.writes_per_second),
      writer(framework::RandomId(), this->table, this->budget, *this->timers, this->metrics),
      list(settings.platform, this->http),
      follower(settings.fleet, "controller", this->http, *this->timers, this->sheet),
      module(settings.control, settings.endpoint, settings.fleet.name,
             {this->http, *this->timers, this->metrics, this->table, this->writer, this->list,
              this->follower, this->sheet}) {}

bool Controller::Start() {
  this->RegisterRoutes();
  const bool listening = boost::leaf::try_handle_all(
      [this]() -> framework::Result<bool> {
        BOOST_LEAF_AUTO(port, this->server.Listen());
        framework::LogEvent(framework::Severity::kInfo, "controller_started").With("port", port);
        return true;
      },
      [](const framework::HttpServerError& error) {
        framework::LogEvent(framework::Severity::kError, "listen_failed")
            .With("detail", error.detail);
        return false;
      },
      [] { return false; });
  if (listening) {
    this->module.Start();
  }
  return listening;
}

void Controller::RegisterRoutes() {
  this->router.Add("GET", "/metrics", [this](const auto& exchange) {
    exchange->Respond(200, "text/plain; version=0.0.4", this->metrics.Render());
  });
  this->router.Add("GET", "/health", [this](const auto& exchange) {
    const char* state = this->module.IsLeader() ? "leading" : "following";
    exchange->Respond(200, "application/json", nlohmann::json{{"state", state}}.dump());
  });
}

void Controller::Leave(std::function<void()> done) {
  framework::LogEvent(framework::Severity::kInfo, "controller_leaving")
      .With("leader", this->module.IsLeader());
  this->module.Leave(std::move(done));
}

}  // namespace lentilhead::apps
