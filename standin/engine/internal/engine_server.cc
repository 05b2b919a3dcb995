#include "standin/engine/engine_server.h"

#include <utility>

#include "framework/http_router.h"
#include "framework/http_server.h"
#include "framework/metrics.h"
#include "standin/engine/internal/engine_admin.h"
#include "standin/engine/internal/engine_core.h"

namespace lentilhead::standin {

namespace {

using Exchange = std::shared_ptr<framework::HttpExchange>;

constexpr std::size_t kMaxConnections = 16'384;

}  // namespace

class EngineServer::State {
 public:
  State(EngineOptions options, framework::TimerService& timers)
      : core(std::make_shared<EngineCore>(std::move(options), timers)),
        admin(this->core),
        server({.port = this->core->Options().port, .max_connections = kMaxConnections},
               this->router, this->metrics) {
    this->admin.Register(this->router);
    if (this->core->Options().kind == EngineKind::kPlain) {
      this->router.Add("*", "/", [this](const Exchange& exchange) { this->core->Call(exchange); });
      return;
    }
    this->router.Add("POST", "/v1/chat/completions", [this](const Exchange& exchange) {
      this->core->Complete(CompletionKind::kChat, exchange);
    });
    this->router.Add("POST", "/v1/completions", [this](const Exchange& exchange) {
      this->core->Complete(CompletionKind::kText, exchange);
    });
  }

  std::shared_ptr<EngineCore> core;
  EngineAdmin admin;
  framework::HttpRouter router;
  framework::Metrics metrics;
  framework::HttpServer server;
  std::uint16_t port = 0;
};

EngineServer::EngineServer(EngineOptions options, framework::TimerService& timers)
    : state(std::make_shared<State>(std::move(options), timers)) {}

EngineServer::~EngineServer() { this->state->core->AbortAll(); }

framework::Result<std::uint16_t> EngineServer::Listen() {
  BOOST_LEAF_ASSIGN(this->state->port, this->state->server.Listen());
  return this->state->port;
}

std::uint16_t EngineServer::Port() const { return this->state->port; }

void EngineServer::StopListening() { this->state->server.StopListening(); }

void EngineServer::SetFaults(const FaultPlan& faults) { this->state->core->SetFaults(faults); }

const EngineStats& EngineServer::Stats() const { return this->state->core->Stats(); }

}  // namespace lentilhead::standin
