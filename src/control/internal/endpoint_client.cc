#include "control/internal/endpoint_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "endpoint/endpoint_request.h"

namespace lentilhead::control::internal {

namespace {

using framework::HttpFailure;
using framework::HttpRequest;
using framework::HttpResponse;
using framework::Reply;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;

std::optional<nlohmann::json> ParseObject(const Reply<HttpResponse, HttpFailure>& reply) {
  if (!reply || reply.Value().head.status != kOk) {
    return std::nullopt;
  }
  nlohmann::json body = nlohmann::json::parse(reply.Value().body, nullptr, false);
  return body.is_object() ? std::optional(std::move(body)) : std::nullopt;
}

std::optional<ObservedState> ParseState(const Reply<HttpResponse, HttpFailure>& reply) {
  const auto body = ParseObject(reply);
  if (!body) {
    return std::nullopt;
  }
  try {
    ObservedState state;
    state.model = body->value("model", "");
    state.version = body->value("version", "");
    state.adapters = body->value("adapters", std::vector<std::string>{});
    state.role = body->value("role", "");
    state.draining = body->value("draining", false);
    return state;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

/// True if the load report was made while draining and counts no running or waiting request.
bool IsIdle(const nlohmann::json& load) {
  try {
    return load.value("draining", false) && load.value("running", 1) == 0 &&
           load.value("waiting", 1) == 0;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

OrderResult ResultOf(const Reply<HttpResponse, HttpFailure>& reply) {
  if (!reply) {
    return OrderResult::kUnknown;
  }
  const HttpResponse& response = reply.Value();
  if (response.head.status == kOk) {
    return OrderResult::kDone;
  }
  const bool stale = response.head.status == kConflict &&
                     response.body.find("stale_fencing_token") != std::string::npos;
  return stale ? OrderResult::kStaleToken : OrderResult::kRefused;
}

}  // namespace

EndpointClient::EndpointClient(framework::HttpClient& http, std::chrono::milliseconds order_timeout,
                               std::chrono::milliseconds load_timeout)
    : http(http), order_timeout(order_timeout), load_timeout(load_timeout) {}

void EndpointClient::Request(HttpRequest request, ResponseHandler handler) {
  const std::uint64_t id = this->next_call++;
  this->calls.emplace(
      id, this->http.Send(std::move(request), [this, id, handler = std::move(handler)](auto reply) {
        handler(std::move(reply));
        this->calls.erase(id);
      }));
}

void EndpointClient::Observe(const ManagedEndpoint& endpoint, ObservedHandler handler) {
  HttpRequest request = endpoint::RequestTo(endpoint.address, "/admin/state");
  request.timeout = this->order_timeout;
  request.idle_timeout = this->order_timeout;
  this->Request(std::move(request),
                [this, endpoint, handler = std::move(handler)](const auto& reply) mutable {
                  const std::optional<ObservedState> state = ParseState(reply);
                  if (state && state->draining) {
                    this->ObserveLoad(endpoint, *state, std::move(handler));
                  } else {
                    handler(state);
                  }
                });
}

void EndpointClient::ObserveLoad(const ManagedEndpoint& endpoint, ObservedState state,
                                 ObservedHandler handler) {
  HttpRequest request = endpoint::RequestTo(endpoint.address, "/load");
  request.timeout = this->order_timeout;
  request.idle_timeout = this->order_timeout;
  this->Request(std::move(request), [state = std::move(state),
                                     handler = std::move(handler)](const auto& reply) mutable {
    const auto load = ParseObject(reply);
    state.idle = load && IsIdle(*load);
    handler(state);
  });
}

void EndpointClient::Send(const SendOrder& order, std::uint64_t fencing_token,
                          ResultHandler handler) {
  nlohmann::json body = {{"fencing_token", fencing_token}};
  if (order.kind == OrderKind::kLoad) {
    body["model"] = order.desired.model;
    body["version"] = order.desired.version;
    body["adapters"] = order.desired.adapters;
    body["role"] = order.desired.role;
  }
  HttpRequest request =
      endpoint::RequestTo(order.endpoint.address, std::string("/admin/") + NameOf(order.kind));
  request.method = "POST";
  request.content_type = "application/json";
  request.body = body.dump();
  request.timeout = order.kind == OrderKind::kLoad ? this->load_timeout : this->order_timeout;
  request.idle_timeout = this->order_timeout;
  this->Request(std::move(request),
                [handler = std::move(handler)](const auto& reply) { handler(ResultOf(reply)); });
}

void EndpointClient::Check(const CheckEndpoint& check, CheckHandler handler) {
  std::string model = check.desired.model;
  if (!check.desired.adapters.empty()) {
    model += ":" + check.desired.adapters.front();
  }
  const nlohmann::json body = {
      {"model", model},
      {"max_tokens", 1},
      {"messages", {{{"role", "user"}, {"content", "Reply with one word."}}}}};
  HttpRequest request = endpoint::RequestTo(check.endpoint.address, "/v1/chat/completions");
  request.method = "POST";
  request.content_type = "application/json";
  request.body = body.dump();
  request.timeout = this->load_timeout;
  this->Request(std::move(request), [handler = std::move(handler)](const auto& reply) {
    const int status = reply ? reply.Value().head.status : 0;
    handler(status == kOk || status == kTooManyRequests);
  });
}

}  // namespace lentilhead::control::internal
