#include "control/operator_api.h"

#include <utility>

#include "control/internal/operator_state.h"

namespace lentilhead::control {

OperatorApi::OperatorApi(const endpoint::EndpointSettings& endpoints, Dependencies dependencies)
    : state(std::make_shared<State>(endpoints, dependencies)) {}

OperatorApi::~OperatorApi() = default;

void OperatorApi::RegisterRoutes(framework::HttpRouter& router, Authenticator authenticator) {
  this->state->RegisterRoutes(router, std::move(authenticator));
}

OperatorApi::State::State(const endpoint::EndpointSettings& endpoints, Dependencies dependencies)
    : endpoints(endpoints), dependencies(dependencies) {}

void OperatorApi::State::RegisterRoutes(framework::HttpRouter& router, Authenticator check) {
  this->authenticator = std::move(check);
  this->Add(router, "POST", "/v1/sheet", &State::SubmitSheet);
  this->Add(router, "GET", "/v1/sheet", &State::ShowSheet);
  this->Add(router, "GET", "/v1/sheet/history", &State::ShowHistory);
  this->Add(router, "GET", "/v1/fleet", &State::ShowFleet);
  this->Add(router, "GET", "/v1/endpoints", &State::ShowEndpoints);
  this->Add(router, "GET", "/v1/rollouts", &State::ShowRollouts);
  this->Add(router, "POST", "/v1/endpoints/", &State::ChangeEndpoint);
  this->Add(router, "POST", "/v1/instances/", &State::ChangeInstance);
}

void OperatorApi::State::Add(framework::HttpRouter& router, const char* method, const char* path,
                             Handler handler) {
  router.Add(method, path, [weak = weak_from_this(), handler](const Exchange& exchange) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    const std::optional<std::string> operator_name = self->authenticator(*exchange);
    if (operator_name) {
      (self.get()->*handler)(exchange, *operator_name);
    }
  });
}

void OperatorApi::State::RespondError(const Exchange& exchange, framework::HttpError error,
                                      const nlohmann::json& details) {
  this->dependencies.metrics.GetCounter("operator_refusals_total", {{"reason", error.code}}).Add();
  nlohmann::json body = nlohmann::json::parse(framework::RenderHttpError(error));
  for (const auto& [key, value] : details.items()) {
    body["error"][key] = value;
  }
  if (!error.outcome.empty()) {
    exchange->SetHeader("X-Outcome", error.outcome);
  }
  framework::RespondJson(*exchange, error.status, body.dump());
}

}  // namespace lentilhead::control
