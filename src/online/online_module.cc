#include "online/online_module.h"

#include <utility>

#include "framework/http_error.h"
#include "online/internal/intent_sweeper.h"
#include "online/internal/model_api.h"
#include "online/internal/online_metrics.h"
#include "online/internal/request_pipeline.h"
#include "online/internal/request_validator.h"
#include "online/internal/service_api.h"
#include "online/internal/worker_resources.h"

namespace lentilhead::online {

namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

}  // namespace

class OnlineModule::State {
 public:
  State(OnlineSettings given, Dependencies dependencies)
      : settings(std::move(given)),
        metrics(dependencies.metrics),
        budget(this->settings.retry_share, this->settings.retry_burst),
        resources{
            this->settings,     dependencies.directory, dependencies.http, dependencies.timers,
            dependencies.table, dependencies.writer,    this->metrics,     this->budget},
        validator(this->settings, dependencies.timers, this->metrics),
        pipeline(this->resources),
        models(this->resources, dependencies.services, this->validator, this->pipeline,
               dependencies.sheet),
        plain(this->resources, dependencies.services, this->validator, this->pipeline,
              dependencies.sheet),
        sweeper(dependencies.table, dependencies.timers, dependencies.metrics) {}

  void AnswerHealth(framework::HttpExchange& exchange) const {
    const nlohmann::json body = {{"state", NameOf(this->readiness)}};
    const bool ready = this->readiness == Readiness::kReady;
    framework::RespondJson(exchange, ready ? kOk : kServiceUnavailable, body.dump());
  }

  OnlineSettings settings;
  internal::OnlineMetrics metrics;
  internal::RetryBudget budget;
  internal::WorkerResources resources;
  internal::RequestValidator validator;
  internal::RequestPipeline pipeline;
  internal::ModelApi models;
  internal::ServiceApi plain;
  internal::IntentSweeper sweeper;
  Readiness readiness = Readiness::kNotReady;
};

OnlineModule::OnlineModule(OnlineSettings settings, Dependencies dependencies)
    : state(std::make_unique<State>(std::move(settings), dependencies)) {}

OnlineModule::~OnlineModule() = default;

void OnlineModule::RegisterRoutes(framework::HttpRouter& router) {
  this->state->models.RegisterRoutes(router);
  this->state->plain.RegisterRoutes(router);
  router.Add("GET", "/health",
             [this](const auto& exchange) { this->state->AnswerHealth(*exchange); });
}

void OnlineModule::SetCallers(std::shared_ptr<const CallerRegistry> callers) {
  this->state->validator.SetCallers(std::move(callers));
}

void OnlineModule::SetReadiness(Readiness readiness) {
  this->state->readiness = readiness;
  this->state->validator.SetLeaving(readiness == Readiness::kLeaving);
}

std::optional<std::string> OnlineModule::Authenticate(
    const std::shared_ptr<framework::HttpExchange>& exchange) {
  const auto context = this->state->validator.Validate(exchange);
  if (!context) {
    return std::nullopt;
  }
  return context->caller->name;
}

std::size_t OnlineModule::OpenRequests() const { return this->state->pipeline.OpenCount(); }

std::size_t OnlineModule::AbortAll() { return this->state->pipeline.AbortAll(); }

void OnlineModule::OnIdle(std::function<void()> handler) {
  this->state->pipeline.OnIdle(std::move(handler));
}

}  // namespace lentilhead::online
